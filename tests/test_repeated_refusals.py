"""An engine writes an earlier refusal once more on a kept connection."""

import pytest

from _gateway import events, text
from _raw_engine import FRAMINGS, REPORT, add_raw_engine, stamped, with_length

# How long the engine takes to run a request, in seconds.
RUN_S = 0.3


def refusal(request_id=None, framing="length"):
    fields = [b"X-Not-Executed: 1"]
    if request_id is not None:
        fields.append(b"X-Request-Id: " + request_id.encode())
    return FRAMINGS[framing](503, b"", *fields)


def stream(request_id, last=4):
    fields = [*stamped(request_id), b"Content-Type: text/event-stream"]
    return with_length(200, events(1, last), *fields)


@pytest.fixture
def faulty(play):
    """Plays calls at a gateway whose first engine answers as given.

    A second, sound engine of another zone joins before the last call. Returns the
    responses and the numbers of runs of the last request at both engines, or what
    ``after`` returns, which is called in place of the sound engine's start.
    """

    def run(answer, paths, answer_report=None, before=None, after=None):
        async def scenario(deployment):
            engine = add_raw_engine(deployment, answer)
            engine.answer_report = answer_report
            gateway = await deployment.add_gateway()
            if before is not None:
                await before(deployment, gateway)
            responses = []
            for number, path in enumerate(paths):
                if number == len(paths) - 1 and after is None:
                    sound = deployment.add_engine(zone="b")
                    while gateway.count_engines()["serving"] < 2:
                        await deployment.pause(0.01)
                name = f"r{number}"
                call = deployment.call(gateway, "POST", path, request_id=name)
                responses.append(await call)
            if after is not None:
                return await after(deployment, gateway)
            runs = [sum(r.id == name for r in e.requests) for e in (engine, sound)]
            return responses, runs

        return play(scenario)

    return run


@pytest.mark.parametrize("path", ["/once/a", "/unsafe/a"])
@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("echoed", [None, "r0"])
def test_refusal_of_an_earlier_request_is_not_the_answer_to_a_later_one(
    faulty, path, framing, echoed
):
    """The request ran at a second engine, or its caller got 503 although it ran."""

    def answer(channel, request):
        if request.id == "r1":
            channel.send(refusal(echoed, framing))
            channel.finish(stream("r1"), RUN_S)
        else:
            channel.finish(stream(request.id))

    responses, runs = faulty(answer, [path, path])
    assert [resp.status for resp in responses] == [200, 200]
    assert responses[1].body == events(1, 4)
    assert runs == [1, 0]


@pytest.mark.parametrize("path", ["/once/a", "/unsafe/a"])
@pytest.mark.parametrize("echoed", [None, "r0"])
def test_repeated_refusal_without_a_length_is_not_trusted(faulty, path, echoed):
    """No other response can follow it, so that the outcome stays open."""

    def answer(channel, request):
        if request.id == "r1":
            channel.send(refusal(echoed, "neither"))
            channel.finish(stream("r1"), RUN_S)
        else:
            channel.finish(stream(request.id))

    responses, runs = faulty(answer, [path, path])
    assert [resp.status for resp in responses] == [200, 502]
    assert runs == [1, 0]


@pytest.mark.parametrize("path", ["/once/a", "/unsafe/a", "/resumable/a"])
@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_refusal_on_a_kept_connection_is_trusted_if_nothing_follows(
    faulty, path, framing
):
    def answer(channel, request):
        if request.id == "r1":
            channel.finish(refusal(None, framing))
        else:
            channel.finish(stream(request.id))

    responses, runs = faulty(answer, [path, path])
    assert [resp.status for resp in responses] == [200, 200]
    assert runs == [1, 1]


def test_repeated_refusal_of_a_report_is_not_the_answer_to_a_request(faulty):
    """Reports name no request, and the connections of rejected ones are kept."""
    reports = []

    def answer_report(channel):
        reports.append(channel)
        if len(reports) == 1:
            channel.finish(refusal())
        else:
            channel.finish(with_length(200, REPORT))

    def answer(channel, request):
        if channel in reports:
            channel.send(refusal())
        channel.finish(stream(request.id), RUN_S)

    async def ask(deployment, gateway):
        engine = gateway._fleet.engines["i-0"]
        await gateway._access.probe(engine)
        engine.avoided_until = 0.0

    responses, runs = faulty(answer, ["/once/a"], answer_report, ask)
    assert [resp.status for resp in responses] == [200]
    assert reports
    assert runs == [1, 0]


def test_item_whose_engine_repeats_a_refusal_completes_in_one_run(faulty):
    """The item was started again although its first run went on at the engine."""
    repeated = []

    def answer(channel, request):
        if request.body == b"second" and len(channel.seen) > 1:
            repeated.append(request)
            channel.send(refusal())
        channel.finish(stream(request.id), RUN_S)

    async def submit(deployment, gateway):
        for job_id, body in (("job1", b"first"), ("job2", b"second")):
            await deployment.submit(gateway, job_id, [body])
            rows = await deployment.results(gateway, job_id, 1)
        return rows[0]["text"], deployment.runs_of(b"second")

    assert faulty(answer, [], after=submit) == (text(4), 1)
    assert len(repeated) == 1
