"""Compute the answer of a simulated engine, which depends only on its prompt."""

import hashlib


def prompt_digest(messages: list[dict], weights_version: str) -> str:
    """Return a short digest of a prompt under a weights version."""
    text = "\n".join(f"{m.get('role')}:{m.get('content')}" for m in messages)
    return hashlib.sha256(f"{weights_version}\n{text}".encode()).hexdigest()[:8]


def token(digest: str, index: int) -> str:
    """Return the text of the token at an index of an answer."""
    return f"{digest}.{index} "


def whole_answer(messages: list[dict], weights_version: str, tokens: int) -> str:
    """Return the whole text of an answer of a number of tokens."""
    digest = prompt_digest(messages, weights_version)
    return "".join(token(digest, index) for index in range(tokens))
