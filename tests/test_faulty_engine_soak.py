"""Engines that refuse, repeat and break off responses at random.

By hand, with other seeds: SOAK_SEEDS=1000-1100 pytest tests/test_faulty_engine_soak.py
"""

import os
from random import Random

import attrs
import pytest
from twisted.internet.defer import Deferred, gatherResults

from _gateway import config, events, route, text
from _raw_engine import FRAMINGS, REPORT, add_raw_engine, head, stamped, with_length
from pomeloshift.http1 import ConnectError, ConnectionBrokenError

FIRST, LAST = (int(n) for n in os.environ.get("SOAK_SEEDS", "1-12").split("-"))
ROUNDS = 12
AT_ONCE = 4
PATHS = ["/once/a", "/unsafe/a", "/resumable/a", "/plain/a"]
LAST_EVENT = 5
# Statuses with which a caller is told that its request has not run and never will.
NOT_RUN = {408, 421, 429, 503}
STREAM = b"Content-Type: text/event-stream"
ERROR = b"HTTP/1.1 500 Broken\r\nContent-Length: 3\r\n\r\nbad"


def is_stream(path):
    return not path.startswith(("/unsafe", "/plain"))


@attrs.define(eq=False)
class FaultyEngine:
    """Draws what the engine writes for each request; ``ran`` holds what it ran."""

    random: Random
    ran: list = attrs.field(factory=list)
    refusals: list = attrs.field(factory=list)

    def answer(self, channel, request):
        # Only on a kept channel can anything be written once more.
        if len(channel.seen) > 1 and self.random.random() < 0.4:
            channel.send(self.earlier(channel))
        draw = self.random.random()
        if draw < 0.25:
            self.refuse(channel, request)
            return
        self.ran.append(request.id)
        if draw < 0.75:
            self.complete(channel, request)
        elif draw < 0.85:
            self.fail(channel, request)
        else:
            self.break_off(channel, request)

    def earlier(self, channel):
        """Returns the response to an earlier request, or to an earlier report."""
        framing = self.random.choice(["length", "chunks"])
        before = self.whole(channel.seen[-2], framing)
        return self.random.choice([with_length(200, REPORT), before, *self.refusals])

    def refuse(self, channel, request):
        fields = [b"X-Not-Executed: 1"]
        if self.random.random() < 0.5:
            fields.append(b"X-Request-Id: " + request.id.encode())
        status = self.random.choice([503, 429])
        framing = self.random.choice(["length", "chunks"])
        data = FRAMINGS[framing](status, b"", *fields)
        self.refusals.append(data)
        extra = data if self.random.random() < 0.3 else b""
        channel.finish(data + extra)

    def whole(self, request, framing):
        fields = stamped(request.id)
        if is_stream(request.path):
            first = int(request.headers.get("last-event-id", 0)) + 1
            body = events(first, LAST_EVENT)
            return FRAMINGS[framing](200, body, *fields, STREAM)
        return FRAMINGS[framing](200, request.id.encode(), *fields)

    def complete(self, channel, request):
        framing = self.random.choice(list(FRAMINGS))
        delay_s = self.random.choice([0.0, 0.02])
        extra = self.random.choice([b"", b"", b"more", *self.refusals[-1:]])
        if framing == "neither" and self.random.random() < 0.5:
            channel.end(self.whole(request, framing), delay_s)
        elif framing == "neither":
            channel.finish(self.whole(request, framing), delay_s)
            channel.engine._raw_reactor.callLater(delay_s + 0.01, channel.close)
        else:
            channel.finish(self.whole(request, framing) + extra, delay_s)

    def fail(self, channel, request):
        status = self.random.choice([200, 500, 404])
        fields = [*stamped(request.id), b"Content-Type: text/plain"]
        if status == 200 and "last-event-id" not in request.headers:
            status = 500
        channel.finish(with_length(status, b"error: broken\n\n", *fields))

    def break_off(self, channel, request):
        whole = self.whole(request, "length")
        end = whole.index(b"\r\n\r\n") + 4
        cut = self.random.choice([self.random.randrange(1, end), len(whole) - 3])
        if is_stream(request.path) and self.random.random() < 0.5:
            first = int(request.headers.get("last-event-id", 0)) + 1
            last = self.random.randrange(first - 1, LAST_EVENT)
            part = b"id: %d\ndata: wo" % (last + 1)
            fields = [*stamped(request.id), STREAM, b"Content-Length: 9999"]
            body = events(first, last) + part + self.random.choice([b"", ERROR])
            channel.send(head(200, *fields) + body)
        else:
            channel.send(whole[:cut])
        channel.close()


def problems(path, request_id, after, outcome, runs):
    """Returns what an outcome breaks; it is a response or None if it broke off.

    ``after`` is the last event that the caller had, 0 without any.
    """
    found = []
    is_repeatable = path.startswith(("/resumable", "/plain"))
    if runs > 1 and not is_repeatable:
        found.append(f"ran {runs} times")
    if outcome is None:
        return found
    if outcome.status in NOT_RUN and runs and not is_repeatable:
        found.append(f"{outcome.status} although it ran")
    if outcome.status == 200:
        stream = events(after + 1, LAST_EVENT)
        whole = stream if is_stream(path) else request_id.encode()
        if outcome.body != whole or runs == 0:
            found.append(f"200 with {outcome.body!r} after {runs} runs")
    return [f"{path} {request_id}: {one}" for one in found]


def add_faulty_engines(deployment, random):
    faulty = [FaultyEngine(Random(random.random())) for _ in range(2)]
    for one in faulty:
        add_raw_engine(deployment, one.answer)
    return faulty


@pytest.mark.parametrize("seed", range(FIRST, LAST + 1))
def test_callers_are_told_the_truth_by_a_gateway_of_faulty_engines(play, seed):
    random = Random(seed)

    async def send(deployment, gateway, faulty, number):
        path, request_id = random.choice(PATHS), f"r{number}"
        after = random.choice([0, 2]) if is_stream(path) else 0
        headers = {"Last_Event_Id": after} if after else {}
        try:
            call = deployment.call(
                gateway, "POST", path, request_id=request_id, **headers
            )
            outcome = await call
        except (ConnectError, ConnectionBrokenError):
            outcome = None
        runs = sum(one.ran.count(request_id) for one in faulty)
        return problems(path, request_id, after, outcome, runs)

    async def scenario(deployment):
        routes = [route(p.split("/")[1], timeoutMs=1500) for p in PATHS]
        deployment.publish(config(2, routes))
        faulty = add_faulty_engines(deployment, random)
        gateway = await deployment.add_gateway()
        found = []
        for first in range(0, ROUNDS * AT_ONCE, AT_ONCE):
            calls = [
                Deferred.fromCoroutine(send(deployment, gateway, faulty, number))
                for number in range(first, first + AT_ONCE)
            ]
            for some in await gatherResults(calls):
                found += some
            for engine in gateway._fleet.engines.values():
                engine.avoided_until = 0.0
        return found

    assert play(scenario) == []


@pytest.mark.parametrize("seed", range(FIRST, LAST + 1))
def test_items_that_faulty_engines_run_have_their_own_output(play, seed):
    async def scenario(deployment):
        add_faulty_engines(deployment, Random(seed))
        gateway = await deployment.add_gateway()
        await deployment.submit(gateway, "job1", [b"body"] * 8)
        return await deployment.results(gateway, "job1", 8)

    rows = play(scenario)
    assert {row["text"] for row in rows if row["state"] == "completed"} == {text(5)}
    assert len({row["id"] for row in rows}) == len(rows) == 8
