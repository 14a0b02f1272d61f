"""Prompt parts that crash the engines that run them, in requests no two alike."""

import itertools

import pytest

from _gateway import events
from pomeloshift.http1 import ConnectionBrokenError

FIRST = "5c1e07a2"
FATAL = "bad0"
# The platform allows three more requests after the crashes of five engines.
MAX_RUNS = 5 + 3
ENGINES = 2 * MAX_RUNS


@pytest.fixture
def send():
    """Sends a new request with prompt parts; its response is None if it was cut."""
    numbers = itertools.count()

    async def send(deployment, gateway, path, *parts):
        number = next(numbers)
        prompt = ",".join(f"{part}:100" for part in (*parts, f"f{number:06x}"))
        try:
            return await deployment.call(
                gateway,
                "POST",
                path,
                b"body %d" % number,
                f"r{number}",
                X_Prompt_Prefix=prompt,
            )
        except ConnectionBrokenError:
            return None

    return send


@pytest.mark.parametrize("reset_after_events", [None, 2])
@pytest.mark.parametrize("path", ["/plain/a", "/unsafe/a", "/once/a", "/resumable/a"])
def test_requests_with_a_part_that_crashed_five_engines_are_not_sent_to_more(
    play, send, path, reset_after_events
):
    async def scenario(deployment):
        deployment.add_crashing_engines(
            ENGINES, crash_part=FATAL, reset_after_events=reset_after_events
        )
        gateways = [await deployment.add_gateway() for _ in range(2)]
        for gateway in gateways * 8:
            await send(deployment, gateway, path, FIRST, FATAL)
        sound = [await send(deployment, gateway, path, FIRST) for gateway in gateways]
        return sound, deployment.runs_with(FATAL)

    sound, runs = play(scenario)
    assert runs <= MAX_RUNS
    assert [resp.body for resp in sound] == [events(1, 4)] * 2
