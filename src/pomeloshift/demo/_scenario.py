"""The steps of the demo."""

from random import Random
from typing import Any

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from ..net import Clock
from ._batch_jobs import BatchCaller, count_outcomes, make_items
from ._client import DemoClient
from ._fleet import DemoFleet
from ._online_load import OnlineLoad
from ._plan import PLAIN_SERVICE
from ._progress import Progress
from ._report import DemoReport

ONLINE_REQUESTS = 400
ONLINE_RATE_PER_S = 24.0
BATCH_ITEMS = 400
CANCELLED_ITEMS = 300
POLL_S = 0.02
START_LIMIT_S = 15.0
CONFIG_LIMIT_S = 18.0
JOB_LIMIT_S = 30.0
PAUSE_BEFORE_CHANGE_S = 3.0
PAUSE_BEFORE_DRAIN_S = 1.0
PAUSE_BEFORE_KILL_S = 1.0
# Longest wait for a cancelled job's end. The demo then waits as long twice: before it
# counts the completed items, and until it checks that their number is the same.
CANCEL_LIMIT_S = 2.0
DRAINED_SERVER = "vezi-lm-2"
KILLED_SERVER = "vezi-lm-4"


class Scenario:
    """Runs the steps on a fleet and fills in the report."""

    def __init__(
        self, reactor: Any, clock: Clock, rng: Random, progress: Progress
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._progress = progress
        self._fleet = DemoFleet(reactor, clock, Random(rng.getrandbits(64)))
        self._client = DemoClient(reactor, clock)
        self._load = OnlineLoad(
            self._fleet, self._client, reactor, Random(rng.getrandbits(64))
        )
        self.report = DemoReport(self._load.totals)

    async def run(self) -> DemoReport:
        """Starts the fleet, runs every step and returns the report."""
        started_at = self._clock.monotonic()
        self._progress.show("start the fleet")
        await self._fleet.start()
        try:
            await self._run_steps()
        finally:
            self.report.cross_region_bytes = self._fleet.network.cross_region_bytes
            self.report.seconds = self._clock.monotonic() - started_at
            await self._client.close()
            await self._fleet.stop()
        return self.report

    async def _run_steps(self) -> None:
        self._progress.show("publish the configuration")
        await self._publish_first()
        caller = self._batch_caller()
        self._progress.show("send online requests beside a batch job")
        online = Deferred.fromCoroutine(
            self._load.run(ONLINE_REQUESTS, ONLINE_RATE_PER_S)
        )
        lines, expected = make_items(BATCH_ITEMS, "night")
        file_id = await caller.upload(lines)
        job_id = await caller.create(file_id, "night-1")
        await self._cancel_second_job(caller)
        await self._pause(PAUSE_BEFORE_CHANGE_S)
        self._progress.show("publish a change")
        await self._publish_change()
        await self._call_plain_service()
        await self._pause(PAUSE_BEFORE_DRAIN_S)
        self._progress.show(f"drain {DRAINED_SERVER}")
        await self._drain()
        await self._pause(PAUSE_BEFORE_KILL_S)
        self._progress.show(f"kill {KILLED_SERVER}")
        await self._kill()
        self.report.resent_job_is_same = job_id == await caller.create(
            await caller.upload(lines), "night-1"
        )
        self._progress.show("wait for the responses and the job")
        await online
        job = await caller.wait(job_id, JOB_LIMIT_S)
        self.report.batch = count_outcomes(await caller.results(job), expected)
        self._progress.show("done")

    async def _publish_first(self) -> None:
        await self._wait_until(
            lambda: (
                len(self._fleet.entries[0].fleet.reports()) == len(self._fleet.servers)
            ),
            START_LIMIT_S,
        )
        entry = self._fleet.entries[0]
        await entry.config.publish(self._fleet.config, 0, "demo")
        await self._wait_until(lambda: self._fleet.lowest_version() > 0, CONFIG_LIMIT_S)

    async def _publish_change(self) -> None:
        changed = attrs.evolve(
            self._fleet.config,
            services=tuple(
                attrs.evolve(service, online_deadline_s=service.online_deadline_s + 5)
                for service in self._fleet.config.services
            ),
        )
        entry = self._fleet.entries[-1]
        published_at = self._clock.monotonic()
        version = await entry.config.publish(changed, entry.config.version, "demo")
        await self._wait_until(
            lambda: self._fleet.lowest_version() >= version, CONFIG_LIMIT_S
        )
        self.report.propagation_s = self._clock.monotonic() - published_at
        self.report.config_version = self._fleet.lowest_version()

    async def _cancel_second_job(self, caller: BatchCaller) -> None:
        lines, _ = make_items(CANCELLED_ITEMS, "spare")
        job_id = await caller.create(await caller.upload(lines), "spare-1")
        await caller.cancel(job_id)
        job = await caller.wait(job_id, CANCEL_LIMIT_S)
        await self._pause(CANCEL_LIMIT_S)
        completed = (await caller.state(job_id))["request_counts"]["completed"]
        await self._pause(CANCEL_LIMIT_S)
        job = await caller.state(job_id)
        self.report.cancelled_job_stopped = job["status"] == "cancelled"
        self.report.ran_after_cancel = job["request_counts"]["completed"] - completed

    async def _call_plain_service(self) -> None:
        url = self._entry_url(0) + f"/v1/services/{PLAIN_SERVICE}/send/schedule"
        key = self._fleet.keys.callers["shift-foremen"]
        headers = {"idempotency-key": "schedule-1"}
        for _ in range(2):
            await self._client.request(
                "POST", url, key, {"schedule": 1}, headers=headers
            )
        counts = self._fleet.plain_service.call_counter.counts()
        self.report.calls_run_twice = sum(count.runs > 1 for count in counts)

    async def _drain(self) -> None:
        server = self._fleet.server(DRAINED_SERVER)
        self._fleet.mark_leaving(server)
        self._load.draining = True
        await server.sidecar.drain()
        self._load.draining = False
        self.report.drain_cut_off = self._load.totals.cut_by_drain

    async def _kill(self) -> None:
        server = self._fleet.server(KILLED_SERVER)
        await server.kill()
        self._fleet.servers.remove(server)
        self._fleet.remove(server.name)

    def _batch_caller(self) -> BatchCaller:
        key = self._fleet.keys.callers["shift-foremen"]
        return BatchCaller(self._client, self._reactor, self._entry_url(0), key)

    def _entry_url(self, number: int) -> str:
        instance = self._fleet.entries[number].instance
        address = self._fleet.network.address_from(
            None, instance.place, instance.address
        )
        return f"http://{address}"

    async def _pause(self, seconds: float) -> None:
        await deferLater(self._reactor, seconds)

    async def _wait_until(self, condition: Any, limit_s: float) -> bool:
        deadline = self._clock.monotonic() + limit_s
        while not condition() and self._clock.monotonic() < deadline:
            await self._pause(POLL_S)
        return bool(condition())
