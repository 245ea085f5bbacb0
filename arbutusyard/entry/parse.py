"""Decode and validate chat requests and prepare them for routing."""

from typing import Any

import msgspec

from arbutusyard.config.models import Model, WorkClass
from arbutusyard.const import MS_PER_S
from arbutusyard.entry.const import DEFAULT_MAX_TOKENS, MAX_TOKENS_LIMIT
from arbutusyard.entry.exceptions import Refused
from arbutusyard.entry.models import Caller, ChatRequest, ChatWork
from arbutusyard.routing.chain import build_chain, salt


def decode_chat_request(data: bytes) -> tuple[ChatRequest, dict[str, Any]]:
    """Decode a request body; raise Refused if it is not a valid chat request."""
    try:
        fields = msgspec.json.decode(data, type=dict[str, Any])
        req = msgspec.convert(fields, ChatRequest)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise Refused(
            400, "invalid_body", f"body is not a chat request: {exc}"
        ) from exc
    if not req.messages:
        raise Refused(400, "invalid_body", "messages must not be empty")
    max_tokens = req.max_completion_tokens or req.max_tokens or DEFAULT_MAX_TOKENS
    if not 1 <= max_tokens <= MAX_TOKENS_LIMIT:
        raise Refused(
            400,
            "invalid_body",
            f"max_tokens {max_tokens} is not in 1 to {MAX_TOKENS_LIMIT}",
        )
    return req, fields


def build_work(
    request_id: str,
    caller: Caller,
    req: ChatRequest,
    fields: dict[str, Any],
    weights_version: str,
    class_name: str | None,
    deadline_ms: str | None,
    now: float,
) -> ChatWork:
    """Return a request with its class, deadline and hashed prompt.

    Raise Refused for an unknown work class or an invalid deadline.
    """
    work_class = find_class(caller, class_name)
    chain_salt = salt(caller.name, req.model, weights_version)
    deadline_s = _deadline_s(deadline_ms, work_class)
    return ChatWork(
        request_id=request_id,
        caller=caller,
        request=req,
        fields=fields,
        serves=f"{caller.workload.name}/{req.model}",
        weights_version=weights_version,
        work_class=work_class,
        chain=build_chain(prompt_bytes(req), chain_salt),
        max_tokens=req.max_completion_tokens or req.max_tokens or DEFAULT_MAX_TOKENS,
        arrived_at=now,
        deadline_at=now + deadline_s,
    )


def find_model(caller: Caller, name: str) -> Model:
    """Return a model of the caller's workload; raise Refused for an unknown name."""
    for model in caller.workload.models:
        if model.name == name:
            return model
    known = ", ".join(model.name for model in caller.workload.models)
    raise Refused(404, "unknown_model", f"model {name!r} is not one of {known}")


def find_class(caller: Caller, name: str | None) -> WorkClass:
    """Return a work class of the caller's workload, or its default class.

    Raise Refused for an unknown name.
    """
    wanted = name or caller.workload.default_class
    for work_class in caller.workload.classes:
        if work_class.name == wanted:
            return work_class
    known = ", ".join(item.name for item in caller.workload.classes)
    raise Refused(400, "unknown_class", f"work class {name!r} is not one of {known}")


def prompt_bytes(req: ChatRequest) -> bytes:
    """Return the bytes of a prompt in the form that is hashed for routing."""
    parts = []
    for message in req.messages:
        parts.append(message.role.encode())
        parts.append(b"\x1f")
        parts.append(_content_bytes(message.content))
        parts.append(b"\x1e")
    return b"".join(parts)


def _content_bytes(content: Any) -> bytes:
    if isinstance(content, str):
        return content.encode()
    return msgspec.json.encode(content)


def _deadline_s(deadline_ms: str | None, work_class: WorkClass) -> float:
    if deadline_ms is None:
        return work_class.deadline_s
    if not deadline_ms.isdigit() or not int(deadline_ms):
        raise Refused(400, "invalid_deadline", f"deadline {deadline_ms!r} is not in ms")
    return min(int(deadline_ms) / MS_PER_S, work_class.deadline_s)
