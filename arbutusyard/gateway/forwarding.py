"""Send requests through another node while this one reaches no server of a service."""

import logging
from typing import Final

from arbutusyard import clock
from arbutusyard.fleet.messages import Heartbeat
from arbutusyard.fleet.peer_table import PeerTable
from arbutusyard.fleet.servers import Server
from arbutusyard.fleet.state import FleetState
from arbutusyard.gateway.answer_relay import StreamObserver
from arbutusyard.gateway.const import REFUSAL_BYTES_MAX, REFUSAL_READ_TIMEOUT_S
from arbutusyard.gateway.events import StreamEvent
from arbutusyard.gateway.exceptions import (
    AnswerBroken,
    AnswerLate,
    CallerGone,
    NotSent,
    Unreachable,
)
from arbutusyard.gateway.exchange import AttemptResult, Dispatcher, Exchange
from arbutusyard.gateway.models import (
    AnswerHead,
    Framing,
    RetryPolicy,
    ServerEntry,
    ServerState,
)
from arbutusyard.gateway.pool import ServerConnection, ServerPool
from arbutusyard.gateway.reachability import Reachability
from arbutusyard.metrics.deferred import DeferredMetrics
from arbutusyard.origins.coordinator import SOURCE_PEER, OriginCoordinator
from arbutusyard.origins.models import Began
from arbutusyard.platform.headers import NOT_RUN_STATUSES, peer_headers

_LOGGER = logging.getLogger(__name__)

# Number of nodes to which one request is sent, until one of them takes it.
FORWARD_NODES_MAX: Final = 3
# Number of requests that one other node is sent at a time. Each takes a connection of
# the clients' budget there, 3,500 on a VM with 4,100 descriptors.
FORWARDS_PER_NODE_MAX: Final = 256
# Number of requests that the nodes of the own failure domain are sent more than others.
OWN_DOMAIN_PREFERENCE: Final = 8


class Forwarder:
    """Forward requests to nodes that reach the servers, and relay their answers.

    The other node admits a request, charges it and chooses its servers, as if it had
    come from the client.
    """

    __slots__ = (
        "_dispatcher",
        "_domain",
        "_fleet_state",
        "_metrics",
        "_nodes",
        "_origins",
        "_peers",
        "_pool",
        "_reachability",
    )

    def __init__(
        self,
        fleet_state: FleetState,
        peers: PeerTable,
        reachability: Reachability,
        dispatcher: Dispatcher,
        origins: OriginCoordinator,
        metrics: DeferredMetrics,
        failure_domain: str,
        source_ip: str,
    ) -> None:
        self._fleet_state = fleet_state
        self._peers = peers
        self._reachability = reachability
        self._dispatcher = dispatcher
        self._origins = origins
        self._metrics = metrics
        self._domain = failure_domain
        self._pool = ServerPool(source_ip)
        # What is in flight at each node; to the pool a node is a server.
        self._nodes: dict[tuple[str, int], Server] = {}

    def is_due(self, exchange: Exchange, now: float) -> bool:
        """Tell whether a request should be served through another node.

        Requests that another node has forwarded are never forwarded again.
        """
        return (
            not exchange.req.from_node
            and exchange.can_continue()
            and exchange.forwards < FORWARD_NODES_MAX
            and self._reachability.is_cut_off(exchange.service, now)
            and self._choose(exchange, now) is not None
        )

    def forward(self, exchange: Exchange) -> AttemptResult | None:
        """Forward a request; return None once its client has an answer.

        NOT_SENT if no node has taken it, so that no server has it either.
        """
        while exchange.forwards < FORWARD_NODES_MAX:
            now = clock.now()
            peer = self._choose(exchange, now)
            if peer is None:
                break
            exchange.forwards += 1
            exchange.forwarded_to.add(peer.name)
            granted = _grant_attempts(exchange)
            result = self._send(exchange, peer, granted, now)
            self._metrics.count_forward(result.value if result else "answered")
            match result:
                case AttemptResult.NOT_SENT:
                    exchange.unusable_nodes.add(peer.name)
                    continue
                case AttemptResult.BROKEN | AttemptResult.FAILED:
                    # The node does not say how many servers it asked.
                    exchange.executions += granted - 1
                    exchange.forwarded_executions += granted
            return result
        return AttemptResult.NOT_SENT

    def reaches_engines(self, now: float) -> bool:
        """Tell whether this node reaches the engines as well as the other nodes do.

        While no node reaches those of a service they are gone, not out of reach.
        """
        catalog = self._fleet_state.catalog
        services = catalog.cfg.services if catalog else {}
        return not any(
            service in services
            and services[service].engine is not None
            and self._candidates(service, now)
            for service in self._reachability.services()
        )

    def sweep(self, now: float) -> None:
        """Close idle connections; forget nodes that have timed out."""
        self._pool.sweep(now)
        if not self._nodes:
            return
        live = {(hb.name, hb.incarnation) for hb in self._peers.live_heartbeats(now)}
        for incarnation, node in list(self._nodes.items()):
            if incarnation not in live and not node.in_flight:
                del self._nodes[incarnation]

    def _candidates(self, service: str, now: float) -> list[Heartbeat]:
        """Return the nodes that serve clients and report to reach a service."""
        return [
            peer
            for peer in self._peers.live_heartbeats(now)
            if peer.ready
            and not peer.leaving
            and service not in peer.cut_off
            and (not self._peers.large() or self._peers.serves(peer.name, now))
        ]

    def _choose(self, exchange: Exchange, now: float) -> Heartbeat | None:
        """Choose a node that may take a request; return None if there is none."""
        catalog = self._fleet_state.catalog
        version = catalog.cfg.version if catalog else 0
        usable = []
        for peer in self._candidates(exchange.service, now):
            node = self._node(peer)
            if peer.name in exchange.unusable_nodes or (
                node.suspected and now < node.suspect_until
            ):
                continue
            if node.in_flight >= FORWARDS_PER_NODE_MAX:
                continue
            cost = node.in_flight
            if peer.failure_domain != self._domain:
                cost += OWN_DOMAIN_PREFERENCE
            # A heartbeat may be older than the configuration that its node has by now.
            is_outdated = peer.config_version < version
            was_asked = peer.name in exchange.forwarded_to
            usable.append((was_asked, is_outdated, cost, peer.name, peer))
        return min(usable, key=lambda item: item[:4])[4] if usable else None

    def _node(self, peer: Heartbeat) -> Server:
        incarnation = (peer.name, peer.incarnation)
        node = self._nodes.get(incarnation)
        if node is None or node.entry.address != peer.peer_address:
            entry = ServerEntry(
                *incarnation,
                service="",
                address=peer.peer_address,
                failure_domain=peer.failure_domain,
                state=ServerState.READY,
                slots=0,
                weights={},
            )
            node = self._nodes[incarnation] = Server(entry)
        return node

    def _send(
        self, exchange: Exchange, peer: Heartbeat, granted: int, now: float
    ) -> AttemptResult | None:
        """Send a request to one node and relay its answer."""
        node = self._node(peer)
        request_id = exchange.req.request_id
        conn: ServerConnection | None = None
        complete_head: AnswerHead | None = None
        exchange.head = None
        node.in_flight += 1
        try:
            conn = self._pool.acquire(node, request_id, FORWARDS_PER_NODE_MAX, now)
            node.suspected = False
            conn.should_abandon = lambda: self._should_abandon(exchange, peer)
            if exchange.conn.has_disconnected():
                raise CallerGone("client disconnected before its request was forwarded")
            self._send_request(exchange, conn, granted)
            head = conn.read_head(request_id, exchange.deadline)
            if _is_refusal(exchange, head):
                read_until = min(
                    exchange.deadline, clock.now() + REFUSAL_READ_TIMEOUT_S
                )
                if conn.discard_body(REFUSAL_BYTES_MAX, read_until):
                    complete_head = head
                raise NotSent(f"refused: {head.node_refusal or head.status}")
            exchange.head = head
            is_relayed = self._relay_answer(exchange, conn, head)
            complete_head = head
            node.count_outcome(False, clock.now())
            if is_relayed:
                return None
            cause = f"status {head.status}"
            return self._record_failure(exchange, peer, AttemptResult.FAILED, cause)
        except NotSent as exc:
            if isinstance(exc, Unreachable):
                node.suspect(clock.now())
            return self._record_failure(exchange, peer, AttemptResult.NOT_SENT, exc)
        except AnswerBroken as exc:
            return self._record_failure(exchange, peer, AttemptResult.BROKEN, exc)
        except AnswerLate as exc:
            return self._record_failure(exchange, peer, AttemptResult.LATE, exc)
        finally:
            node.in_flight -= 1
            if conn is not None and complete_head is not None:
                self._pool.release(conn, complete_head, clock.now())
            elif conn is not None:
                self._pool.abort(conn)

    def _send_request(
        self, exchange: Exchange, conn: ServerConnection, granted: int
    ) -> None:
        req = exchange.req
        catalog = self._fleet_state.catalog
        sequence = exchange.delivery.sequence
        if exchange.conn.sent_head:
            _LOGGER.info(
                "Continuing an answer through another node",
                extra={
                    "request_id": req.request_id,
                    "events": exchange.delivery.events,
                    "resume_after": sequence.last_id,
                    "software_version": exchange.software_version,
                    "forwarded_to": sorted(exchange.forwarded_to),
                },
            )
        headers = peer_headers(
            req,
            exchange.deadline - clock.now(),
            catalog.cfg.version if catalog else 0,
            granted,
            sequence.last_id,
            exchange.began_id(),
        )
        conn.send(req.request_id, req.method, req.target, headers, req.body)

    def _relay_answer(
        self, exchange: Exchange, conn: ServerConnection, head: AnswerHead
    ) -> bool:
        """Relay a node's answer; return False for an error that may be retried.

        Raise AnswerBroken if there is no complete answer.
        """
        relay = self._dispatcher.relay
        if head.framing is Framing.CLOSE:
            raise AnswerBroken(f"{conn.address} did not say where its answer ends")
        if head.status == 502 and not head.stamped:
            raise AnswerBroken(f"{conn.address} got no answer from a server")
        relay.check_head(exchange, conn, head)
        if exchange.route.streaming and head.status < 300:
            _check_software(exchange, head)
            stream = NodeStream(self._origins, exchange, head)
            relay.relay_stream(exchange, conn, head, stream)
            return True
        body = relay.read_or_relay_body(exchange, conn, head)
        if body is not None and head.status >= 500 and head.stamped:
            exchange.fallback_answer = (head, body)
            return False
        if body is not None:
            relay.answer(exchange, head, body)
        return True

    def _should_abandon(self, exchange: Exchange, peer: Heartbeat) -> bool:
        """Tell whether to give up on a node that has timed out.

        A request that can't be repeated or continued waits for its answer until its
        deadline.
        """
        if not exchange.can_continue():
            return False
        if exchange.route.retry_policy is RetryPolicy.ONCE:
            return False
        if exchange.attempts_left() <= 1:
            return False
        now = clock.now()
        live = self._peers.live_heartbeats(now)
        if any(
            (other.name, other.incarnation) == (peer.name, peer.incarnation)
            for other in live
        ):
            return False
        # Only an attempt that can follow is a reason not to wait any longer.
        return self.is_due(exchange, now) or not self._reachability.is_cut_off(
            exchange.service, now
        )

    @staticmethod
    def _record_failure(
        exchange: Exchange, peer: Heartbeat, result: AttemptResult, cause: object
    ) -> AttemptResult:
        _LOGGER.info(
            "Forwarding a request to a node failed",
            extra={
                "request_id": exchange.req.request_id,
                "service": exchange.service,
                "peer": peer.name,
                "address": peer.peer_address,
                "result": result.value,
                "cause": str(cause),
                "answer_begun": exchange.conn.sent_head,
                "events": exchange.delivery.events,
                "last_event_id": exchange.delivery.sequence.last_id,
                "left_s": round(exchange.deadline - clock.now(), 3),
            },
        )
        return result


class NodeStream(StreamObserver):
    """Record where a stream began that another node relays."""

    __slots__ = ("_exchange", "_head", "_origins")

    def __init__(
        self, origins: OriginCoordinator, exchange: Exchange, head: AnswerHead
    ) -> None:
        self._origins = origins
        self._exchange = exchange
        self._head = head

    def begin(self, now: float) -> None:
        """Adopt the service and the software version of a stream that begins."""
        exchange, head = self._exchange, self._head
        if not head.stream_software or exchange.software_version is not None:
            return
        exchange.software_version = head.stream_software
        exchange.origin_source = SOURCE_PEER
        if any(s.service == head.stream_service for s in exchange.route.shares):
            exchange.service = head.stream_service

    def relay(self, events: list[StreamEvent], now: float) -> None:
        """Record where the stream began, for clients that resume it."""
        exchange = self._exchange
        if exchange.delivery.events or exchange.software_version is None:
            return
        if exchange.route.retry_policy is RetryPolicy.RESUME:
            began = Began(exchange.service, exchange.software_version, SOURCE_PEER)
            self._origins.record_forwarded(
                exchange.account_name(),
                exchange.req.request_id,
                began,
                self._head.stream_server,
                now,
            )


def _grant_attempts(exchange: Exchange) -> int:
    """Return to how many servers another node may send a request.

    Half of them are kept back for the case that the node itself fails, if the request
    may be repeated.
    """
    left = exchange.attempts_left()
    if exchange.route.retry_policy is RetryPolicy.ONCE:
        return left
    return max(1, left // 2)


def _check_software(exchange: Exchange, head: AnswerHead) -> None:
    """Raise AnswerBroken if a node's answer is of another version than its stream.

    Before its events are read, as those that are accepted count as relayed.
    """
    if head.stream_software and exchange.software_version not in (
        None,
        head.stream_software,
    ):
        raise AnswerBroken(
            f"software version {head.stream_software} cannot continue a stream of "
            f"version {exchange.software_version}"
        )


def _is_refusal(exchange: Exchange, head: AnswerHead) -> bool:
    """Tell whether a node refused a request for reasons that others may not have.

    A node that is short of memory refuses a request before it has read its ID. No
    refusal is relayed once the request may have run, as it promises the contrary.
    """
    may_have_run = exchange.executions or exchange.conn.sent_head
    if may_have_run and head.status in NOT_RUN_STATUSES | {408}:
        return not head.stamped
    return bool(head.node_refusal) or (
        head.status in (408, 503) and not head.stamped and not head.request_id
    )
