"""Gateways whose store loses an append, refuses its repeat and applies it late."""

import pytest

from pomeloshift.platform import StoreFullError, StoreNoResponseError


class LateAppend:
    """Holds back a gateway's next append to the job log; its repeats get 507."""

    def __init__(self, gateway, partition):
        self.refused = None
        self._call = None
        self._append = gateway._store.append
        self._partition = partition
        gateway._store.append = self.append

    async def append(self, topic, number, records, producer, sequence, **options):
        if topic == "keyed.jobs" and self._call is None:
            rows = [bytes([len(k)]) + k.encode() + v for k, v in records]
            self._call = rows, producer, options["epoch"], sequence
            raise StoreNoResponseError("the response was lost")
        if topic == "keyed.jobs" and records and self.refused is None:
            raise StoreFullError("the store is full")
        return await self._append(topic, number, records, producer, sequence, **options)

    def apply(self):
        """The store applies the call if it still may; it has room again."""
        self.refused = self._partition.append(*self._call)


@pytest.mark.parametrize("is_late", [True, False])
def test_refused_repeat_of_a_lost_append_is_settled_by_the_log(play, is_late):
    """A job that got 503 ran, and the next one got 202 and was lost."""

    async def scenario(deployment):
        engine = deployment.add_engine()
        gateway = await deployment.add_gateway()
        partition = deployment.store.state.partition("keyed.jobs", 0)
        store = LateAppend(gateway, partition)
        if not is_late:
            deployment.reactor.callLater(0.05, store.apply)
        first = await deployment.submit(gateway, "j1", [b"one"])
        if is_late:
            store.apply()
        second = await deployment.submit(gateway, "j2", [b"two"])
        reads = [
            await deployment.call(gateway, "GET", f"/api/lots/{job_id}?after=0")
            for job_id in ("j1", "j2")
        ]
        statuses = [resp.status for resp in (first, second, *reads)]
        if statuses[3] == 200:
            await deployment.results(gateway, "j2", 1)
        return statuses, {request.body for request in engine.requests}

    statuses, bodies = play(scenario)
    if is_late:
        assert (statuses, bodies) == ([503, 202, 404, 200], {b"two"})
    else:
        assert statuses == [202, 202, 200, 200]
        assert b"two" in bodies
