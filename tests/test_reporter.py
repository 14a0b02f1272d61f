from random import Random

import pytest
from twisted.internet.task import Clock as TwistedClock

from pomeloshift.membership import HeartbeatSender, HeartbeatTiming
from pomeloshift.model import Instance, InstanceRole, Place
from pomeloshift.sidecar._reporter import Reporter

PLACE = Place("gorenjska", "kranj-a")
ENTRY = Instance("entry-1", InstanceRole.ENTRY, PLACE, "h:1", "tcp://h:2")


class BrokenControl:
    """A control client whose exchanges raise an error of an unexpected type."""

    def __init__(self):
        self.asked = 0

    def retain(self, urls):
        pass

    async def request(self, url, message, timeout_s):
        self.asked += 1
        raise RuntimeError("an unexpected error")


@pytest.fixture
def clock():
    time = TwistedClock()
    time.monotonic = time.seconds
    return time


@pytest.mark.parametrize("breaks", ["exchange", "report"])
def test_heartbeats_continue_after_an_unexpected_error(clock, breaks):
    control = BrokenControl()
    reports = []

    def make_report():
        reports.append(clock.seconds())
        if breaks == "report":
            raise RuntimeError("no report")

    sender = HeartbeatSender("s1", HeartbeatTiming(), Random(1))
    reporter = Reporter(
        PLACE, sender, control, clock, make_report, lambda document: None, lambda: None
    )
    reporter.observe_list([ENTRY])
    for _ in range(20):
        clock.advance(0.1)
        reporter.tick()
    assert len(reports) > 10
