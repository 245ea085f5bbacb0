"""Isolate a tenant by a configuration, and look whose KV cache others use then."""

import asyncio
import os
from pathlib import Path

from review.stage.stage import (
    call,
    model_headers,
    model_service,
    new_id,
    route,
    run_case,
)
from review.stage.worker import ModelWorker

DEADLINE_S = 4.0
SHARED = "5c1e07a2:800"
REQUESTS = 12
# Well past config_apply_ms (2 s), after which a configuration is in force everywhere.
APPLIED_S = 6.0


class CachingWorker(ModelWorker):
    """Keep the parts of prompts under their salt, with the tenant that made them."""

    def __init__(self, *args):
        super().__init__(*args)
        self.made_by = {}
        self.uses = []

    async def run(self, request, reader, writer):
        """Use the parts that are kept, make the others, and stream the answer."""
        salt = request.headers.get("cache-salt", "")
        tenant = request.headers["tenant"]
        for part in request.headers["prefix-hash"].split(","):
            key = (salt, request.headers["model"], part.split(":")[0])
            if key in self.made_by:
                self.uses.append((tenant, *self.made_by[key], key, request.request_id))
            else:
                self.made_by[key] = (tenant, request.request_id)
            self.stage.log(
                "part", request.request_id, tenant, key, "made by", self.made_by[key]
            )
        await super().run(request, reader, writer)


def _tenants(isolated):
    return [
        {"name": "firm-a", "api_keys": ["key-of-a"], "share_nothing": isolated},
        {"name": "firm-b", "api_keys": ["key-of-b"], "share_nothing": False},
    ]


async def play(stage, trouble):
    """Return whether requests use KV cache across the wall around a tenant."""
    routes = [route("tag", "streaming", "llm", 4000, resumable=True)]
    services = [model_service()]
    # Without the disruption the tenant has been isolated from the beginning.
    stage.configure(1, routes, services, _tenants(not trouble))
    stage.store.write("op", "version/m0", {"model": "m0", "version": 1})
    workers = [
        await stage.add_worker(CachingWorker(stage, "llm", 64, "m0")) for _ in range(2)
    ]
    await stage.start_nodes(2)

    async def send(tenant):
        for number in range(REQUESTS):
            request_id = new_id()
            headers = model_headers(
                request_id, DEADLINE_S * 1000, [SHARED, f"{request_id}:37"]
            )
            headers["Api-Key"] = f"key-of-{tenant}"
            node = stage.nodes[number % len(stage.nodes)]
            async with asyncio.timeout(DEADLINE_S):
                answer = await call(node.front, "POST", "/tag/1", headers)
            stage.log("answered", node.name, request_id, tenant, answer.status)
            await asyncio.sleep(0.1)

    await send("a")
    stage.configure(2, routes, services, _tenants(True))
    await asyncio.sleep(APPLIED_S)
    for worker in workers:
        worker.uses.clear()
    await send("b")
    uses = [use for worker in workers for use in worker.uses]
    foreign = [use for use in uses if use[0] != use[1]]
    stage.show(
        "KV cache used across the wall around firm-a",
        [
            f"request {user_id} of {user} used part {part} (model {model}, salt "
            f"{salt}) that request {maker_id} of {maker} had made"
            for user, maker, maker_id, (salt, model, part), user_id in foreign
        ],
    )
    stage.say(
        f"{REQUESTS} requests of firm-b {APPLIED_S:.0f} s after the ack of the "
        f"configuration that isolates firm-a: {len(uses)} parts taken from the KV "
        f"cache, {len(foreign)} of them made by firm-a"
    )
    return bool(foreign)


# TROUBLE=0 does the same without the disruption.
run_case(Path(__file__).parent, play, os.environ.get("TROUBLE", "1") != "0")
