"""Withdraw requests that wait too long at a server under weights or salts of before."""

import logging
from typing import Final

from arbutusyard.gateway.outdated_weights import OutdatedWeights
from arbutusyard.gateway.router import Placement

_LOGGER = logging.getLogger(__name__)

# Time after a change of the accounts that share cached segments in which requests that
# were sent before it may still begin, in seconds. Most of them are being prefilled.
GROUP_CHANGE_GRACE_S: Final = 1.0


def is_overdue(
    outdated: OutdatedWeights, placement: Placement, model: str, now: float
) -> bool:
    """Tell whether a request must not begin any more where it was placed."""
    return placement.prompt is not None and outdated.is_overdue(
        model, _version(placement, model), now
    )


def should_withdraw(
    outdated: OutdatedWeights,
    placement: Placement,
    model: str,
    request_id: str,
    now: float,
) -> bool:
    """Tell whether to withdraw a request that has not begun at its server."""
    if not is_overdue(outdated, placement, model, now):
        return False
    _LOGGER.info(
        "Withdrew a request that can't begin before its weights are overdue",
        extra=_log_fields(outdated, placement, model, request_id, now),
    )
    return True


def has_left_group(placement: Placement, has_changed: bool, now: float) -> bool:
    """Tell whether a request has waited too long under another group's cache salt."""
    prompt = placement.prompt
    if prompt is None or not has_changed:
        return False
    prompt.group_changed_at = min(prompt.group_changed_at, now)
    return now - prompt.group_changed_at > GROUP_CHANGE_GRACE_S


def log_late_beginning(
    outdated: OutdatedWeights,
    placement: Placement,
    model: str,
    request_id: str,
    now: float,
) -> None:
    """Log the first event of a request whose weights are overdue by then."""
    if is_overdue(outdated, placement, model, now):
        _LOGGER.warning(
            "A request began on overdue weights",
            extra=_log_fields(outdated, placement, model, request_id, now),
        )


def _version(placement: Placement, model: str) -> int:
    """Return the weights on which a request begins if its server accepts it.

    The request names them, whatever this node has learned of the server since; without
    a name it begins on those that the server has.
    """
    return placement.weights_version or placement.server.weights.get(model, 0)


def _log_fields(
    outdated: OutdatedWeights,
    placement: Placement,
    model: str,
    request_id: str,
    now: float,
) -> dict[str, object]:
    server = placement.server
    begin_by = outdated.begin_by(model, _version(placement, model))
    return {
        "request_id": request_id,
        "server": server.entry.server_id,
        "weights": placement.weights_version,
        "server_weights": server.weights.get(model, 0),
        "superseded_s": placement.superseded_s,
        "since_sent_s": round(now - placement.sent_at, 3),
        "overdue_s": round(now - begin_by, 3),
    }
