"""Serves the calls of the batch API."""

from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet.defer import (
    CancelledError,
    Deferred,
    FirstError,
    gatherResults,
)

from ..dispatch import Route
from ..errors import PomeloshiftError, Ran
from ..http1 import Exchange
from ..jobs import (
    CapRoom,
    ItemRoutes,
    Job,
    JobEnded,
    Result,
)
from ..net._periodic_tasks import spawn
from ..platform import (
    CallerRequest,
    ItemRead,
    JobEnd,
    JobRead,
    MalformedError,
    decode_items,
    decoding_cost,
    encode_results,
)
from ..workspaces import Caller
from ._blob_store import BlobStore
from ._cap_decisions import CapDecisions
from ._events import EventLog
from ._job_log import JobLog
from ._job_store import JobStore
from ._log_writer import LogUnavailableError
from ._refusal import refuse, respond_json
from ._refused_records import RefusedRecords
from ._timing import MAX_LONG_POLL_S, RESULTS_MAX_AGE_S, SUBMIT_TIMEOUT_S

# Most bytes of result texts in one response; the next call reads the rest.
PAGE_BYTES = 900_000
# Delay after which a refused caller retries at another gateway, which may reach the
# store: a few round trips, so that the job can still be accepted in time.
RETRY_AFTER_S = 0.05
# The same where a submission found no memory: about as long as another one is stored.
MEMORY_RETRY_AFTER_S = 0.5


@attrs.define
class BatchApi:
    """Accepts jobs and serves their results from the state replayed from the log.

    A caller uses only the jobs of its own workspace; others do not exist for it. No job
    is accepted while ``may_accept`` returns false.
    """

    log: JobLog
    blobs: BlobStore
    routes: ItemRoutes
    events: EventLog
    reactor: Any
    clock: Any
    may_accept: Callable[[], bool] = lambda: True
    _waiting: dict[str, list[Deferred[None]]] = attrs.field(factory=dict)
    _is_stopping: bool = False
    _decisions: CapDecisions = attrs.field(init=False)
    _jobs: JobStore = attrs.field(init=False)

    @_decisions.default
    def _new_decisions(self) -> CapDecisions:
        refused = RefusedRecords(self.log, self.blobs, self.events)
        return CapDecisions(self.log, refused, self.events, self.reactor, self.clock)

    @_jobs.default
    def _new_jobs(self) -> JobStore:
        return JobStore(self.log, self.blobs, self._decisions, self.clock)

    def submit(
        self, exchange: Exchange, req: CallerRequest, route: Route, caller: Caller
    ) -> None:
        """Accepts a job once it is durable in the log."""
        self._start(exchange, req, self._submit(exchange, req, route, caller))

    def call(
        self,
        exchange: Exchange,
        req: CallerRequest,
        call: JobRead | JobEnd | ItemRead,
        caller: Caller,
    ) -> None:
        """Serves a read of a job or an item, or ends a job."""
        if isinstance(call, JobRead):
            self._start(exchange, req, self._read(exchange, req, call, caller))
        elif isinstance(call, JobEnd):
            self._start(exchange, req, self._end(exchange, req, call, caller))
        else:
            self._start(exchange, req, self._read_item(exchange, call, caller))

    def has_job(self, job_id: str, host: str) -> bool:
        """Returns whether a job that this host's callers submitted is known here."""
        job = self.log.table.jobs.get(job_id)
        return job is not None and job.host == host

    def is_anonymous(self, job_id: str) -> bool:
        """Returns whether a known job has no workspace, so that it needs no key."""
        job = self.log.table.jobs.get(job_id)
        return job is not None and not job.workspace

    def is_repeat(self, req: CallerRequest) -> bool:
        """Returns whether a request submits a job again that is known here."""
        if req.method != "POST" or not self.has_job(req.id, req.host):
            return False
        return self.log.table.jobs[req.id].path == req.path

    def accept_repeat(
        self, exchange: Exchange, req: CallerRequest, caller: Caller
    ) -> None:
        """Accepts a job again for which `is_repeat` is true."""
        self._respond_known(exchange, req, self.log.table.jobs[req.id], caller)

    def job_changed(self, job_id: str) -> None:
        """Wakes the calls that wait for a job's next result."""
        for waiter in self._waiting.pop(job_id, ()):
            if not waiter.called:
                waiter.callback(None)

    def stop_waiting(self) -> None:
        """Responds to reads that wait for results: their callers wait elsewhere."""
        self._is_stopping = True
        for job_id in list(self._waiting):
            self.job_changed(job_id)

    def _start(self, exchange: Exchange, req: CallerRequest, coroutine: Any) -> None:
        task = spawn(self._guard(exchange, req, coroutine))
        exchange.on_disconnect = task.cancel

    async def _guard(self, exchange: Exchange, req: CallerRequest, work: Any) -> None:
        try:
            await work
        except CancelledError:
            raise
        except PomeloshiftError as exc:
            # 503 guarantees that the call had no effect; 504 leaves its outcome open,
            # as an earlier attempt does whose record may still be applied.
            is_open = req.method == "POST" and self._decisions.is_undecided(req.id)
            status = 503 if exc.ran is Ran.NO and not is_open else 504
            self.events.warn(
                "batch_call_failed",
                id=req.id,
                path=req.path,
                status=status,
                code=exc.code.value,
                why=exc.message,
                log_age_s=self.log.age(),
            )
            refuse(exchange, status, RETRY_AFTER_S)
        except Exception:
            exchange.abort()
            raise

    async def _submit(
        self, exchange: Exchange, req: CallerRequest, route: Route, caller: Caller
    ) -> None:
        if not await exchange.hold_decoded(decoding_cost(exchange.body)):
            self.events.warn("job_not_decoded", id=req.id, bytes=len(exchange.body))
            refuse(exchange, 503, MEMORY_RETRY_AFTER_S)
            return
        try:
            items = decode_items(exchange.body)
        except MalformedError as exc:
            self.events.warn("job_malformed", id=req.id, why=exc.message)
            headers = [(b"Content-Type", b"text/plain; charset=utf-8")]
            exchange.respond(400, headers, exc.message.encode("utf-8", "replace"))
            return
        known = self.log.table.jobs.get(req.id)
        if known is not None:
            self._respond_known(exchange, req, known, caller)
            return
        if not self.log.follower.is_reachable:
            raise LogUnavailableError("the store did not respond to the last read")
        await self.require_fresh()
        known = self.log.table.jobs.get(req.id)
        if known is not None:
            self._respond_known(exchange, req, known, caller)
            return
        if not self.may_accept():
            raise LogUnavailableError("the lease on the configuration has expired")
        tokens = sum(item.tokens for item in items)
        room = CapRoom.of(self.log.table, self.routes, route, caller.name or "")
        if not room.fits(tokens) and not self._decisions.is_undecided(req.id):
            # Another gateway may have accepted the job since the last read.
            await self.log.follower.catch_up()
            known = self.log.table.jobs.get(req.id)
            if known is not None:
                self._respond_known(exchange, req, known, caller)
                return
            room = CapRoom.of(self.log.table, self.routes, route, room.workspace)
            if not room.fits(tokens):
                self.events.info(
                    "job_refused",
                    id=req.id,
                    workspace=room.workspace,
                    tokens=tokens,
                    waiting=room.waiting,
                    cap=room.cap,
                )
                refuse(exchange, 429, route.job_deadline_s / 4)
                return
        if await self._jobs.store(req, room, items, caller):
            self._respond_accepted(exchange, req, "new", len(items))
        else:
            refuse(exchange, 429, route.job_deadline_s / 4)

    def _respond_known(
        self, exchange: Exchange, req: CallerRequest, job: Job, caller: Caller
    ) -> None:
        """Accepts a job again, unless another workspace submitted it."""
        if caller.may_use(job.workspace):
            self._respond_accepted(exchange, req, "known", len(job.items))
        else:
            self._respond_unknown(exchange, job.id)

    def _respond_accepted(
        self, exchange: Exchange, req: CallerRequest, how: str, items: int
    ) -> None:
        self.events.info(
            "job_accepted",
            id=req.id,
            how=how,
            items=items,
            log_age_s=self.log.age(),
            took_s=self.clock.monotonic() - exchange.arrived_at,
        )
        respond_json(exchange, 202, b"{}")

    async def _read(
        self, exchange: Exchange, req: CallerRequest, call: JobRead, caller: Caller
    ) -> None:
        is_known = call.job_id in self.log.table.jobs
        until = self.clock.monotonic() + min(req.wait_s, MAX_LONG_POLL_S)
        job = await self._find(call.job_id, caller)
        if job is not None and is_known and len(job.results) <= call.position:
            await self.require_fresh()
        while job is not None and self._awaits_result(job, call.position):
            remaining_s = until - self.clock.monotonic()
            if remaining_s <= 0:
                break
            await self._wait_for_change(job.id, remaining_s)
            job = self.log.table.jobs.get(call.job_id)
        if job is None:
            self._respond_unknown(exchange, call.job_id)
            return
        results = _page(job.results[call.position :])
        rows = list(zip(results, await self._texts(results), strict=True))
        body = encode_results(len(job.items), call.position, rows)
        respond_json(exchange, 200, body)

    async def _texts(self, results: list[Result]) -> list[bytes]:
        texts = [Deferred.fromCoroutine(self._text(result)) for result in results]
        try:
            return await gatherResults(texts, consumeErrors=True)
        except FirstError as exc:
            cause: Any = exc.subFailure.value
            raise cause from exc

    async def _text(self, result: Result) -> bytes:
        return b"" if result.text is None else await self.blobs.get(result.text)

    def _awaits_result(self, job: Job, position: int) -> bool:
        has_result = len(job.results) > position
        return not has_result and job.is_open and not self._is_stopping

    async def _wait_for_change(self, job_id: str, timeout_s: float) -> None:
        waiter: Deferred[None] = Deferred()
        self._waiting.setdefault(job_id, []).append(waiter)
        timer = self.reactor.callLater(timeout_s, self._wake, job_id, waiter)
        try:
            await waiter
        finally:
            if timer.active():
                timer.cancel()

    def _wake(self, job_id: str, waiter: Deferred[None]) -> None:
        waiters = self._waiting.get(job_id, [])
        if waiter in waiters:
            waiters.remove(waiter)
        if not waiter.called:
            waiter.callback(None)

    async def _end(
        self, exchange: Exchange, req: CallerRequest, call: JobEnd, caller: Caller
    ) -> None:
        job = await self._find(call.job_id, caller)
        if job is None:
            self._respond_unknown(exchange, call.job_id)
            return
        if not job.is_ended:
            await self.log.append_within(JobEnded(job.id), SUBMIT_TIMEOUT_S)
        self.events.info("job_end_accepted", id=job.id)
        respond_json(exchange, 200, b"{}")

    async def _read_item(
        self, exchange: Exchange, call: ItemRead, caller: Caller
    ) -> None:
        job = await self._find(call.job_id, caller)
        item = job.item_by_id(call.item_id) if job is not None else None
        if item is None:
            self._respond_unknown(exchange, call.job_id)
            return
        body = await self.blobs.get(item.body)
        headers = [(b"Content-Type", b"application/octet-stream")]
        exchange.respond(200, headers, body)

    async def _find(self, job_id: str, caller: Caller) -> Job | None:
        """Returns a job, or None if the log, read to its end, has none for the caller.

        Raises an error of the store if the log cannot be read.
        """
        job = self.log.table.jobs.get(job_id)
        if job is None:
            await self.log.follower.catch_up()
            job = self.log.table.jobs.get(job_id)
        return job if job is not None and caller.may_use(job.workspace) else None

    async def require_fresh(self) -> None:
        """Replays the log if the replayed state is older than `RESULTS_MAX_AGE_S`.

        Raises an error of the store if the log cannot be read.
        """
        if self.log.age() > RESULTS_MAX_AGE_S:
            await self.log.follower.catch_up()

    def _respond_unknown(self, exchange: Exchange, job_id: str) -> None:
        self.events.info("job_unknown", id=job_id, log_age_s=self.log.age())
        refuse(exchange, 404)


def _page(results: list[Result]) -> list[Result]:
    """Returns the first results that fit into one response, at least one."""
    size = 0
    for number, result in enumerate(results):
        size += result.text.size if result.text is not None else 0
        if size > PAGE_BYTES and number > 0:
            return results[:number]
    return results
