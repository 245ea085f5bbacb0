"""Describe requests to admission under load."""

from collections.abc import Callable

from arbutusyard.admission.models import Ticket
from arbutusyard.gateway.answer_relay import client_gap_s
from arbutusyard.gateway.exchange import Exchange, urgency


def make_ticket(exchange: Exchange, wake: Callable[[], None] = lambda: None) -> Ticket:
    """Return what admission under load has to know of a request."""
    req, route = exchange.req, exchange.route
    gives_up_at = exchange.deadline
    level = urgency(route, exchange.account)
    if route.streaming:
        gives_up_at = min(gives_up_at, req.arrived_at + client_gap_s(route))
    return Ticket(
        exchange.service,
        route.name,
        route.priority if level is None else level,
        req.arrived_at,
        route.objective_s,
        gives_up_at,
        route.timeout_s,
        exchange.deadline - req.arrived_at,
        req.prompt_tokens if req.model else 0,
        req.prompt_tokens + req.output_tokens if req.model else 0,
        exchange.conn.sent_head,
        wake,
    )
