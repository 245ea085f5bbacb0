"""Decide which engines load weights next."""

from math import ceil

from msgspec import Struct

from arbutusyard.weights.const import (
    BUSY_LOADS_FRACTION,
    BUSY_WAIT_S,
    LOADS_AT_ONCE_FRACTION,
    ROLL_OUT_FRACTION,
)


class EngineView(Struct, frozen=True):
    """Describe an engine at the moment of planning."""

    server_id: str
    version: int
    in_flight: int
    loading: bool
    reachable: bool
    waiting_s: float = 0.0
    superseded_s: float = 0.0


class RollOutPace(Struct, frozen=True):
    """Give the time in which old weights must be gone, and that of one load."""

    limit_s: float
    load_s: float


def loads_at_once(usable: int) -> int:
    """Return how many of a service's usable engines may load at a time."""
    return max(1, int(usable * LOADS_AT_ONCE_FRACTION))


def plan_loads(
    engines: list[EngineView], target: int, pace: RollOutPace | None = None
) -> list[str]:
    """Return the engines to order to load now: the oldest weights, then least to lose.

    When versions are named faster than all engines load, least to lose alone would
    leave a busy engine with weights that were replaced long ago.
    """
    usable = [engine for engine in engines if engine.reachable or engine.loading]
    outdated = [engine for engine in usable if engine.version < target]
    allowed = loads_at_once(len(usable))
    if pace is not None and _prompts_wait(usable):
        allowed = min(allowed, _loads_in_time(usable, outdated, pace))
    free = allowed - sum(engine.loading for engine in engines)
    waiting = [engine for engine in outdated if not engine.loading and engine.reachable]
    waiting.sort(
        key=lambda engine: (engine.version, engine.in_flight, engine.server_id)
    )
    return [engine.server_id for engine in waiting[: max(0, free)]]


def _prompts_wait(usable: list[EngineView]) -> bool:
    waiting_s = sum(engine.waiting_s for engine in usable)
    return waiting_s > BUSY_WAIT_S * len(usable)


def _loads_in_time(
    usable: list[EngineView], outdated: list[EngineView], pace: RollOutPace
) -> int:
    """Return how many loads at a time bring all engines to the target in time."""
    fewest = max(1, int(len(usable) * BUSY_LOADS_FRACTION))
    passed_s = max((engine.superseded_s for engine in outdated), default=0.0)
    left_s = ROLL_OUT_FRACTION * pace.limit_s - passed_s
    if left_s <= pace.load_s:
        return len(usable)
    return max(fewest, ceil(len(outdated) * pace.load_s / left_s))
