"""Decide which engines load weights next."""

from math import ceil, inf

from msgspec import Struct

from arbutusyard.weights.const import (
    BUSY_LOADS_MIN_FRACTION,
    BUSY_WAIT_S,
    CONCURRENT_LOADS_FRACTION,
    ROLL_OUT_FRACTION,
)


class EngineView(Struct, frozen=True):
    """Hold the state of an engine when loads are planned."""

    server_id: str
    version: int
    in_flight: int
    loading: bool
    reachable: bool
    waiting_s: float = 0.0
    superseded_s: float = 0.0


class RollOutTimes(Struct, frozen=True):
    """Hold a roll-out's time limit and an engine's downtime per load, in seconds."""

    time_limit_s: float
    downtime_s: float


def max_concurrent_loads(usable: int) -> int:
    """Return how many of a service's usable engines may load at a time."""
    return max(1, int(usable * CONCURRENT_LOADS_FRACTION))


def plan_loads(
    engines: list[EngineView], target: int, times: RollOutTimes | None = None
) -> list[str]:
    """Return the engines that should load now.

    Engines with the oldest weights come first, then those with the fewest requests in
    flight. When targets change faster than all engines can load, an order by requests
    alone would leave a busy engine with weights that were superseded long ago. Engines
    whose weights are overdue serve no requests, so all of them load at once.
    """
    limit_s = times.time_limit_s if times is not None else inf
    usable = [engine for engine in engines if engine.reachable or engine.loading]
    serving = [engine for engine in usable if engine.superseded_s < limit_s]
    allowed = max_concurrent_loads(len(serving))
    if times is not None and _prompts_are_waiting(usable):
        outdated = [engine for engine in serving if engine.version < target]
        allowed = min(allowed, _loads_needed(serving, outdated, times))
    free_places = max(0, allowed - sum(engine.loading for engine in serving))
    waiting = [
        engine
        for engine in usable
        if engine.version < target and not engine.loading and engine.reachable
    ]
    waiting.sort(
        key=lambda engine: (engine.version, engine.in_flight, engine.server_id)
    )
    overdue = [engine for engine in waiting if engine.superseded_s >= limit_s]
    others = [engine for engine in waiting if engine.superseded_s < limit_s]
    return [engine.server_id for engine in overdue + others[:free_places]]


def _prompts_are_waiting(usable: list[EngineView]) -> bool:
    waiting_s = sum(engine.waiting_s for engine in usable)
    return waiting_s > BUSY_WAIT_S * len(usable)


def _loads_needed(
    usable: list[EngineView], outdated: list[EngineView], times: RollOutTimes
) -> int:
    """Return how many concurrent loads bring all engines to the target in time."""
    min_loads = max(1, int(len(usable) * BUSY_LOADS_MIN_FRACTION))
    elapsed_s = max((engine.superseded_s for engine in outdated), default=0.0)
    remaining_s = ROLL_OUT_FRACTION * times.time_limit_s - elapsed_s
    if remaining_s <= times.downtime_s:
        return len(usable)
    return max(min_loads, ceil(len(outdated) * times.downtime_s / remaining_s))
