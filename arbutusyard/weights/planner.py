"""Decide which engines load weights next."""

from dataclasses import dataclass

from arbutusyard.weights.const import LOADS_AT_ONCE_PART


@dataclass(frozen=True, slots=True)
class EngineView:
    """Describe an engine at the moment of planning."""

    server_id: str
    version: int
    in_flight: int
    loading: bool
    reachable: bool


def loads_at_once(usable: int) -> int:
    """Return how many of a service's usable engines may load at a time."""
    return max(1, int(usable * LOADS_AT_ONCE_PART))


def plan_loads(engines: list[EngineView], target: int) -> list[str]:
    """Return the engines to order to load now: the oldest weights, then least to lose.

    When versions are named faster than all engines load, least to lose alone would
    leave a busy engine with weights that were replaced long ago.
    """
    usable = sum(engine.reachable or engine.loading for engine in engines)
    free = loads_at_once(usable) - sum(engine.loading for engine in engines)
    waiting = [
        engine
        for engine in engines
        if engine.version < target and not engine.loading and engine.reachable
    ]
    waiting.sort(
        key=lambda engine: (engine.version, engine.in_flight, engine.server_id)
    )
    return [engine.server_id for engine in waiting[: max(0, free)]]
