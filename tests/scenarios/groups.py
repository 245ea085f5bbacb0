"""Send groups of requests in the background and check their answers."""

import threading
import time
from dataclasses import dataclass, field

from arbutusyard.client import CallFailed, Client, ClientError, Unreachable
from arbutusyard.client.models import Answer
from standins.answers import whole_answer
from standins.workloads import Level

MODEL = "quetzal-assistant"
LATE_START_S = 30.0
ID_PREFIX = "chatcmpl-"


def messages(prompt, number):
    """Return a prompt that shares its first blocks with the others of the same name."""
    return [
        {"role": "system", "content": Level(prompt, 4).text()},
        {"role": "user", "content": f"question {number}"},
    ]


@dataclass
class Request:
    """One chat request and its answer or error; times are monotonic, in seconds."""

    messages: list
    tokens: int
    started_at: float = 0.0
    ended_at: float = 0.0
    answer: Answer | None = None
    error: ClientError | None = None


@dataclass
class Group:
    """Requests that are sent together, each in a thread of its own.

    `waits_s` holds the waits before the client's retries, in seconds.
    """

    client: Client
    waits_s: list = field(default_factory=list)
    requests: list = field(default_factory=list)
    threads: list = field(default_factory=list)

    def send(self, count, work, tokens, prompt):
        """Start sending requests of one work class that share a prompt prefix."""
        for number in range(count):
            request = Request(messages(prompt, number), tokens)
            self.requests.append(request)
            thread = threading.Thread(
                target=self._run, args=(request, work), daemon=True
            )
            self.threads.append(thread)
            thread.start()

    def _run(self, request, work):
        request.started_at = time.monotonic()
        try:
            request.answer = self.client.chat(
                MODEL, request.messages, request.tokens, work
            )
        except ClientError as exc:
            request.error = exc
        request.ended_at = time.monotonic()

    def ended(self):
        """Return whether every request has an answer or an error."""
        return all(request.ended_at for request in self.requests)

    def complete(self):
        """Return whether every answer is whole, in order and of one weights version."""
        return all(
            request.answer is not None
            and request.answer.text
            in [
                whole_answer(request.messages, version, request.tokens)
                for version in ("v1", "v2", "v3")
            ]
            for request in self.requests
        )

    def first_token_p95(self, in_engine_s):
        """Return the 95th percentile of the times to the first token, in seconds.

        Each is the engine's own time for the request plus the longest wait before a
        retry of a refused request.
        """
        retry_wait_s = max(self.waits_s, default=0.0)
        times = sorted(
            retry_wait_s
            + in_engine_s[request.answer.request_id.removeprefix(ID_PREFIX)]
            for request in self.requests
            if request.answer
        )
        return times[len(times) * 95 // 100]

    def refusals(self):
        """Return the errors of the requests that got no answer."""
        return [request.error for request in self.requests if request.error]

    def refused_not_run(self):
        """Return whether requests were refused, and none of the refused ones ran."""
        return bool(self.refusals()) and all(
            isinstance(error, Unreachable)
            or (
                isinstance(error, CallFailed)
                and error.detail.outcome.value == "not_run"
                and error.detail.retry_after_s
            )
            for error in self.refusals()
        )

    def refused_within(self, bound_s):
        """Return whether every refusal arrived within a bound, in seconds."""
        return all(
            request.ended_at - request.started_at < bound_s
            for request in self.requests
            if request.error
        )

    def describe(self):
        """Return the texts of the first three errors."""
        return [str(error) for error in self.refusals()][:3]
