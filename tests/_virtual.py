"""Runs job services over an in-memory log in virtual time."""

from random import Random

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.internet.testing import MemoryReactorClock

from _jobs import ENDPOINT, SETTINGS, entry, job_service, jsonl
from pomeloshift.entry.batch._calls import decode_call, encode_call
from pomeloshift.entry.batch._errors import OwnerUnreachableError, RemoteError
from pomeloshift.errors import PomeloshiftError
from pomeloshift.standins.log import LogModel, LogSettings, MemoryLog

EPOCH = 1_700_000_000.0
STEP_S = 0.05


class VirtualClock:
    """Reads the time of a test reactor."""

    def __init__(self, reactor):
        self.reactor = reactor

    def monotonic(self):
        return self.reactor.seconds()

    def wall(self):
        return EPOCH + self.reactor.seconds()


class VirtualPeers:
    """Delivers calls between entries in the process, except to unreachable ones."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.unreachable = set()

    async def call(self, address, call):
        service = self.deployment.by_address.get(address)
        if service is None or address in self.unreachable:
            raise OwnerUnreachableError(f"no entry is reachable at {address}")
        try:
            return await service._serve_here(decode_call(encode_call(call)))
        except PomeloshiftError as exc:
            raise RemoteError(exc.report()) from exc

    async def close(self):
        pass


class Deployment:
    """Entries over one log; time advances only in `run` and `advance`."""

    def __init__(self, log_settings=None, settings=SETTINGS, seed=1):
        self.reactor = MemoryReactorClock()
        self.clock = VirtualClock(self.reactor)
        self.settings = settings
        limits = log_settings or LogSettings(appends_per_s=2000, burst=500)
        self.model = LogModel(limits, Random(seed))
        self.log = MemoryLog(
            self.model,
            self.clock.monotonic,
            lambda seconds: deferLater(self.reactor, seconds),
        )
        self.services = []
        self.by_address = {}
        self.peers = VirtualPeers(self)

    def start(self, name, entries=None, **kwargs):
        known = [entry(name)] if entries is None else entries
        service = job_service(
            name,
            self.log,
            self.reactor,
            known,
            self.clock,
            kwargs.pop("settings", self.settings),
            peers=self.peers,
            **kwargs,
        )
        service.start()
        self.by_address[name] = service
        self.services.append(service)
        return service

    def stop(self, service):
        self.services.remove(service)
        del self.by_address[service.name]
        self.run(service.stop())

    def stop_all(self):
        for service in list(self.services):
            self.stop(service)

    def advance(self, seconds, step_s=STEP_S):
        end = self.reactor.seconds() + seconds
        while self.reactor.seconds() < end:
            self.reactor.advance(min(step_s, end - self.reactor.seconds()))

    def run(self, coroutine, limit_s=600.0):
        """Returns a coroutine's result; advances the time until it has ended."""
        done = self.begin(coroutine)
        end = self.reactor.seconds() + limit_s
        while not done.called and self.reactor.seconds() < end:
            self.reactor.advance(STEP_S)
        assert done.called, "the coroutine did not end in time"
        return result_of(done)

    def begin(self, coroutine):
        return Deferred.fromCoroutine(coroutine)

    def submit(self, service, items=5, key="", **kwargs):
        file = self.run(service.upload_file("w", "f", "batch", jsonl(items)))
        return self.run(
            service.create_job(
                "w", file.file_id, ENDPOINT, idempotency_key=key, **kwargs
            )
        )


def result_of(deferred):
    """Returns the result of a deferred that has fired, or raises its exception."""
    fired = []
    deferred.addBoth(fired.append)
    (result,) = fired
    if hasattr(result, "raiseException"):
        result.raiseException()
    return result


def with_settings(**changes):
    return attrs.evolve(SETTINGS, **changes)
