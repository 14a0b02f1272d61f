"""The metrics of a gateway."""

import math
from collections.abc import Iterable
from typing import Any

from ..metrics import Metrics, collect_process
from ._learned_engine import LearnedEngine
from ._rate_metrics import collect_rates


class GatewayMetrics:
    """Records events as they happen; gauges are collected at each scrape."""

    def __init__(self, name: str) -> None:
        self._metrics = Metrics("gateway", name)

    def count_event(self, event: str) -> None:
        """Counts a log event, whether or not its line was written."""
        metrics = self._metrics
        metrics.inc("gateway_decisions_total", event=event)

    def observe_response(
        self, route: str, status: int, first_event_s: float, took_s: float
    ) -> None:
        """Records the response to an online request.

        ``first_event_s`` is 0 for a response without events.
        """
        metrics = self._metrics
        metrics.inc("gateway_answers_total", route=route, status=str(status))
        metrics.observe("gateway_request_seconds", took_s, route=route)
        if first_event_s > 0:
            metrics.observe("gateway_first_event_seconds", first_event_s, route=route)

    def observe_item_run(self, end: str, took_s: float) -> None:
        """Records the end and the duration of a run of a batch item."""
        metrics = self._metrics
        metrics.observe("gateway_item_run_seconds", took_s, end=end)

    def observe_store_call(self, call: str, outcome: str, took_s: float) -> None:
        """Records the outcome and the duration of a call to the store."""
        metrics = self._metrics
        metrics.observe(
            "gateway_store_call_seconds", took_s, call=call, outcome=outcome
        )

    def _set_learned(self, engines: Iterable[LearnedEngine]) -> None:
        """Sets what is learned of engines; those that have left lose their gauges."""
        metrics = self._metrics
        names = ("requests", "evidence", "start_seconds", "gap_seconds", "age_seconds")
        for name in names:
            metrics.clear(f"gateway_learned_{name}")
        for one in engines:
            engine = one.engine
            metrics.set("gateway_learned_start_seconds", one.start_s, engine=engine)
            metrics.set("gateway_learned_gap_seconds", one.gap_s, engine=engine)
            metrics.set("gateway_learned_requests", one.requests, engine=engine)
            metrics.set("gateway_learned_evidence", one.evidence, engine=engine)
            metrics.set("gateway_learned_age_seconds", one.age_s, engine=engine)

    def count_caller(self, outcome: str, why: str) -> None:
        """Counts a caller that was refused, dropped or cut because of its memory."""
        self._metrics.inc("gateway_caller_memory_ends_total", outcome=outcome, why=why)

    def _set_memory(self, memory: Any) -> None:
        metrics = self._metrics
        limit = memory.policy.limit
        metrics.set("gateway_caller_memory_limit_bytes", limit)
        for kind, size in memory.budget.held().items():
            metrics.set("gateway_caller_memory_bytes", size, kind=kind.value)

    def render(self, gateway: Any) -> bytes:
        """Returns the body of the response to a scrape."""
        metrics = self._metrics
        config = gateway.config.current
        metrics.set("gateway_config_version", config.version if config else 0)
        lease_age_s = gateway.workspaces.lease_age_s
        metrics.set(
            "gateway_config_age_seconds", lease_age_s if lease_age_s < math.inf else -1
        )
        metrics.set("gateway_open_requests", gateway.online.open_requests)
        metrics.set("gateway_quarantined_requests", gateway.crashes.count_quarantined())
        parts = gateway.crashes.count_quarantined_parts()
        metrics.set("gateway_quarantined_parts", parts)
        metrics.set("gateway_known_streams", gateway.streams.count)
        metrics.set("gateway_peers", len(gateway.peers.loads.states))
        metrics.set("gateway_items_running", gateway.batch_loop.running)
        jobs = gateway.job_log.table.jobs.values()
        waiting = sum(len(job.pending) for job in jobs if job.is_open)
        metrics.set("gateway_items_waiting", waiting)
        age_s = gateway.job_log.age()
        metrics.set("gateway_job_log_age_seconds", age_s if age_s < math.inf else -1)
        call_bytes = gateway.log_writers.pace.call_bytes
        metrics.set("gateway_append_call_bytes", call_bytes)
        for writer in gateway.log_writers:
            size = writer.waiting_bytes
            metrics.set("gateway_append_waiting_bytes", size, topic=writer.topic)
        for state, count in gateway.count_engines().items():
            metrics.set("gateway_engines", count, state=state)
        self._set_learned(gateway.capacity_report.learned())
        metrics.advance("gateway_log_lines_dropped_total", gateway.lines_dropped)
        collect_rates(metrics, gateway.rates)
        if gateway.memory is not None:
            self._set_memory(gateway.memory)
        collect_process(metrics)
        body, _ = metrics.render()
        return body
