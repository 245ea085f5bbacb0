"""Define the instruments of an entry and export their metrics."""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import MetricReader
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import REGISTRY, generate_latest

from arbutusyard.metrics.const import (
    ATTR_ACCOUNT,
    ATTR_CLASS,
    ATTR_OUTCOME,
    ATTR_REASON,
    ATTR_RESULT,
    EXPORT_INTERVAL_MS,
    EXPORT_TIMEOUT_MS,
    LATENCY_BOUNDS_S,
    MAX_ACCOUNT_LABELS,
    OTHER_ACCOUNTS_LABEL,
)


class AccountLabels:
    """Label the first accounts seen by name and all others with a shared label."""

    __slots__ = ("_known", "_limit")

    def __init__(self, limit: int = MAX_ACCOUNT_LABELS) -> None:
        self._known: set[str] = set()
        self._limit = limit

    def label(self, account: str) -> str:
        """Return the label of an account."""
        if account in self._known:
            return account
        if len(self._known) >= self._limit:
            return OTHER_ACCOUNTS_LABEL
        self._known.add(account)
        return account


class EntryMetrics:
    """Hold the instruments of an entry."""

    __slots__ = (
        "_admissions",
        "_cut_off",
        "_expected_wait",
        "_forwards",
        "_hedge_refusals",
        "_hedges",
        "_hit_tokens",
        "_labels",
        "_provider",
        "_quarantined",
        "_quota_cost",
        "_quota_votes",
        "_recomputed_tokens",
        "_refusals",
        "_requests",
        "_retries",
        "_slowed_reads",
        "_time_between_tokens",
        "_time_to_first_token",
        "_whole_answer_time",
    )

    def __init__(self, otlp_endpoint: str = "") -> None:
        readers: list[MetricReader] = [PrometheusMetricReader()]
        if otlp_endpoint:
            readers.append(_otlp_reader(otlp_endpoint))
        view = View(
            instrument_name="arbutusyard_*_seconds",
            aggregation=ExplicitBucketHistogramAggregation(LATENCY_BOUNDS_S),
        )
        self._provider = MeterProvider(metric_readers=readers, views=[view])
        self._labels = AccountLabels()
        meter = self._provider.get_meter("arbutusyard")
        self._time_to_first_token = meter.create_histogram(
            "arbutusyard_time_to_first_token_seconds"
        )
        self._time_between_tokens = meter.create_histogram(
            "arbutusyard_time_between_tokens_seconds"
        )
        self._expected_wait = meter.create_histogram(
            "arbutusyard_expected_wait_seconds"
        )
        self._whole_answer_time = meter.create_histogram(
            "arbutusyard_whole_answer_seconds"
        )
        self._requests = meter.create_counter("arbutusyard_requests")
        self._admissions = meter.create_counter("arbutusyard_admissions")
        self._refusals = meter.create_counter("arbutusyard_refusals")
        self._retries = meter.create_counter("arbutusyard_retries")
        self._hit_tokens = meter.create_counter("arbutusyard_hit_tokens")
        self._cut_off = meter.create_gauge("arbutusyard_cut_off_services")
        self._forwards = meter.create_counter("arbutusyard_forwards")
        self._hedges = meter.create_counter("arbutusyard_hedges")
        self._hedge_refusals = meter.create_counter("arbutusyard_hedge_refusals")
        self._slowed_reads = meter.create_counter("arbutusyard_slowed_reads")
        self._quarantined = meter.create_gauge("arbutusyard_quarantined")
        self._quota_cost = meter.create_counter("arbutusyard_quota_cost")
        self._quota_votes = meter.create_gauge("arbutusyard_quota_votes")
        self._recomputed_tokens = meter.create_counter("arbutusyard_recomputed_tokens")

    def count_request(self, account: str, work_class: str, outcome: str) -> None:
        """Count a request by its outcome."""
        attrs = self._attributes(account, work_class)
        self._requests.add(1, {**attrs, ATTR_OUTCOME: outcome})

    def count_refusal(self, reason: str) -> None:
        """Count a refusal by its reason."""
        self._refusals.add(1, {ATTR_REASON: reason})

    def count_admission(self, event: str, work_class: str) -> None:
        """Count what admission under load did with a request."""
        self._admissions.add(1, {"event": event, ATTR_CLASS: work_class})

    def record_answer(
        self,
        account: str,
        work_class: str,
        first_token_s: float,
        whole_s: float,
        tokens: int,
    ) -> None:
        """Record the times of a finished answer."""
        attrs = self._attributes(account, work_class)
        self._time_to_first_token.record(first_token_s, attrs)
        self._whole_answer_time.record(whole_s, attrs)
        if tokens > 1:
            between_s = (whole_s - first_token_s) / (tokens - 1)
            self._time_between_tokens.record(between_s, attrs)

    def record_wait(self, account: str, work_class: str, wait_s: float) -> None:
        """Record the wait that routing predicted, in seconds."""
        self._expected_wait.record(wait_s, self._attributes(account, work_class))

    def count_tokens(self, account: str, cached: int, recomputed: int) -> None:
        """Count cached and recomputed prompt tokens."""
        attrs = {ATTR_ACCOUNT: self._labels.label(account)}
        self._hit_tokens.add(cached, attrs)
        self._recomputed_tokens.add(recomputed, attrs)

    def count_retries(self, retries: int) -> None:
        """Count retries of a request."""
        self._retries.add(retries)

    def set_quarantined(self, segments: int, requests: int) -> None:
        """Set how many sets of segments, and whole requests, are quarantined."""
        self._quarantined.set(segments, {"kind": "segments"})
        self._quarantined.set(requests, {"kind": "request"})

    def count_quota(self, account: str, result: str, cost: float) -> None:
        """Count the cost of requests by how their quota was decided."""
        attrs = {ATTR_ACCOUNT: self._labels.label(account), ATTR_RESULT: result}
        self._quota_cost.add(cost, attrs)

    def set_quota_votes(self, votes: int) -> None:
        """Set how many nodes lend their shares of the quotas to this node."""
        self._quota_votes.set(votes)

    def count_hedge(self, outcome: str) -> None:
        """Count an extra attempt that started, or that ended by its outcome."""
        self._hedges.add(1, {ATTR_OUTCOME: outcome})

    def count_hedge_refusal(self, reason: str) -> None:
        """Count an extra attempt that was not started, by the reason."""
        self._hedge_refusals.add(1, {ATTR_REASON: reason})

    def count_forward(self, result: str) -> None:
        """Count a request that was sent to another node, by its result."""
        self._forwards.add(1, {ATTR_RESULT: result})

    def count_slowed_read(self) -> None:
        """Count a server's connection that is read slowly for its small pieces."""
        self._slowed_reads.add(1)

    def set_cut_off(self, services: int) -> None:
        """Set from how many services this node is cut off."""
        self._cut_off.set(services)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(REGISTRY)

    def shutdown(self) -> None:
        """Export the remaining measurements and shut down."""
        self._provider.shutdown()

    def _attributes(self, account: str, work_class: str) -> dict[str, str]:
        return {ATTR_ACCOUNT: self._labels.label(account), ATTR_CLASS: work_class}


def _otlp_reader(endpoint: str) -> MetricReader:
    from opentelemetry.exporter.otlp.proto.http.metric_exporter import (
        OTLPMetricExporter,
    )
    from opentelemetry.sdk.metrics.export import PeriodicExportingMetricReader

    return PeriodicExportingMetricReader(
        OTLPMetricExporter(endpoint=endpoint),
        export_interval_millis=EXPORT_INTERVAL_MS,
        export_timeout_millis=EXPORT_TIMEOUT_MS,
    )
