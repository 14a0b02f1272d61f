from random import Random

import attrs
import pytest
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from pomeloshift.config import (
    CONFIG_STREAM,
    ConfigConflictError,
    ConfigDocumentError,
    Configuration,
    decode_configuration,
)
from pomeloshift.entry.config import (
    ConfigNotReadyError,
    ConfigOutcomeUnknownError,
    ConfigService,
    ConfigTiming,
)
from pomeloshift.log import (
    AppendOutcomeUnknownError,
    LogRateLimitedError,
    LogUnavailableError,
)
from pomeloshift.model import Instance, InstanceRole, Place
from pomeloshift.questionnaire import generate, load_example
from pomeloshift.standins.log import LogFaults, LogModel, LogSettings, MemoryLog

FIRST = Configuration("vezi")
SECOND = Configuration("vezi", result_retention_s=60.0)
TIMING = ConfigTiming(checkpoint_s=100.0, restore_s=20.0)


class VirtualClock:
    def __init__(self, reactor):
        self.monotonic = reactor.seconds
        self.wall = reactor.seconds


@attrs.define
class Fleet:
    """Several entries with one log, in virtual time."""

    reactor: Clock
    model: LogModel
    log: MemoryLog
    entries: list = attrs.field(factory=list)
    services: dict = attrs.field(factory=dict)

    def add(self, name, *, pull=True, region="gorenjska"):
        place = Place(region, f"{region}-a")
        self.entries.append(Instance(name, InstanceRole.ENTRY, place, "h:1"))
        service = ConfigService(
            name,
            self.log,
            VirtualClock(self.reactor),
            self.reactor,
            Random(name),
            region,
            lambda: self.entries,
            pull=self.pull if pull else None,
            timing=TIMING,
        )
        self.services[name] = service
        service.start()
        return service

    async def pull(self, peer):
        return self.services[peer].document()

    def advance(self, seconds):
        for _ in range(int(seconds * 10)):
            self.reactor.advance(0.1)

    def result(self, coroutine, seconds=30.0):
        deferred = ensureDeferred(coroutine)
        outcome = []
        deferred.addBoth(outcome.append)
        self.advance(seconds)
        if hasattr(outcome[0], "raiseException"):
            outcome[0].raiseException()
        return outcome[0]


@pytest.fixture
def fleet():
    reactor = Clock()
    model = LogModel(LogSettings(retention_s=10_000.0), Random(1))
    return Fleet(reactor, model, MemoryLog(model, reactor.seconds))


def test_publication_reaches_every_entry_within_seconds(fleet):
    services = [fleet.add(f"e{n}", region="gorenjska") for n in range(4)]
    seen = []
    services[3].on_change(lambda cfg, version: seen.append((cfg, version)))
    assert fleet.result(services[0].publish(FIRST, 0, "ana"), 3.0) == 1
    assert [s.version for s in services] == [1] * 4
    assert seen == [(FIRST, 1)]


def test_racing_publications_have_one_winner(fleet):
    one, two = fleet.add("e1"), fleet.add("e2")
    fleet.result(one.publish(FIRST, 0, "ana"))
    outcomes = []
    for service, author in ((one, "ana"), (two, "bor")):
        deferred = ensureDeferred(service.publish(SECOND, 1, author))
        deferred.addBoth(outcomes.append)
    fleet.advance(5.0)
    assert outcomes[0] == 2
    assert outcomes[1].check(ConfigConflictError)
    assert outcomes[1].value.current_version == 2
    assert one.version == two.version == 2


def test_racing_appends_on_one_base_have_one_winner(fleet):
    one, two = fleet.add("e1"), fleet.add("e2")
    log = fleet.log
    raced = []

    class RacingLog:
        read = log.read

        async def append(self, stream, payloads):
            if not raced:
                raced.append(await two.publish(SECOND, 0, "bor"))
            return await log.append(stream, payloads)

    one._stream._log = RacingLog()
    with pytest.raises(ConfigConflictError):
        fleet.result(one.publish(FIRST, 0, "ana"))
    assert raced == [1]
    assert one.current == two.current == SECOND


def test_lost_reply_is_resolved_by_reading_the_stream(fleet):
    service = fleet.add("e1")
    fleet.model.faults = LogFaults(lost_answers=1)
    assert fleet.result(service.publish(FIRST, 0, "ana")) == 1
    assert fleet.model.lost_answers == 1
    assert fleet.model.read(CONFIG_STREAM, 0, 9, 0.0).next_offset == 1


def test_lost_reply_with_the_log_down_afterwards_is_an_unknown_outcome(fleet):
    service = fleet.add("e1")
    log = fleet.log

    class FailingLog:
        read = log.read

        async def append(self, stream, payloads):
            fleet.model.faults = LogFaults(lost_answers=1)
            try:
                return await log.append(stream, payloads)
            finally:
                fleet.model.faults = LogFaults(is_down=True)

    service._stream._log = FailingLog()
    with pytest.raises(ConfigOutcomeUnknownError) as caught:
        fleet.result(service.publish(FIRST, 0, "ana"))
    assert caught.value.ran.value == "unknown"
    fleet.model.faults = LogFaults()
    fleet.advance(10.0)
    assert service.version == 1
    assert service.state.outcome_of(caught.value.record_id) == 1


def test_publishing_while_the_log_is_down_appends_nothing(fleet):
    service = fleet.add("e1")
    fleet.model.faults = LogFaults(is_down=True)
    with pytest.raises(LogUnavailableError):
        fleet.result(service.publish(FIRST, 0, "ana"))
    assert fleet.model.appends == 0


def test_unreadable_document_is_never_published(fleet):
    service = fleet.add("e1")
    with pytest.raises(ConfigDocumentError):
        fleet.result(service.publish(b"\xc1", 0, "ana"))
    assert fleet.model.appends == 0


def test_new_entry_pulls_the_configuration_from_a_peer_while_the_log_is_down(fleet):
    first = fleet.add("e1")
    fleet.result(first.publish(FIRST, 0, "ana"))
    fleet.model.faults = LogFaults(is_down=True)
    late = fleet.add("e2")
    fleet.advance(3.0)
    assert late.version == 1
    assert late.current == FIRST


def test_version_reported_by_a_peer_is_pulled(fleet):
    ahead, behind = fleet.add("e1"), fleet.add("e2")
    behind.stop()
    fleet.result(ahead.publish(FIRST, 0, "ana"))
    assert behind.version == 0
    behind.observe_version("e1", 1)
    fleet.advance(0.1)
    assert behind.version == 1


def test_version_reported_by_a_peer_is_read_from_the_log_without_a_pull(fleet):
    ahead, behind = fleet.add("e1"), fleet.add("e2", pull=False)
    behind.stop()
    fleet.result(ahead.publish(FIRST, 0, "ana"))
    behind.observe_version("gone", 1)
    fleet.advance(0.1)
    assert behind.version == 1


def test_checkpoint_keeps_the_version_past_the_expiry_of_its_record(fleet):
    service = fleet.add("e1")
    fleet.result(service.publish(FIRST, 0, "ana"))
    fleet.advance(150.0)
    fleet.model.expire_before(CONFIG_STREAM, 1)
    late = fleet.add("e2", pull=False)
    fleet.advance(5.0)
    assert late.version == 1
    assert late.state.is_complete
    assert fleet.result(late.publish(SECOND, 1, "bor")) > 1


def test_only_one_entry_writes_checkpoints(fleet):
    services = [fleet.add(f"e{n}") for n in range(3)]
    fleet.result(services[0].publish(FIRST, 0, "ana"))
    appended = fleet.model.appends
    fleet.advance(350.0)
    assert fleet.model.appends - appended == 3


def test_other_entries_write_the_checkpoint_if_the_chosen_writer_does_not(fleet):
    services = [fleet.add(f"e{n}") for n in range(3)]
    fleet.result(services[0].publish(FIRST, 0, "ana"))
    (writer,) = (s for s in services if s._is_checkpoint_writer())
    writer.stop()
    appended = fleet.model.appends
    fleet.advance(450.0)
    assert fleet.model.appends > appended
    late = fleet.add("e9", pull=False)
    fleet.model.expire_before(CONFIG_STREAM, 1)
    fleet.advance(5.0)
    assert late.state.is_complete
    assert late.version == 1


def test_version_that_the_log_lost_is_restored_from_an_instance(fleet):
    service = fleet.add("e1")
    fleet.result(service.publish(FIRST, 0, "ana"))
    service.stop()
    fleet.model.expire_before(CONFIG_STREAM, 1)
    survivor = fleet.add("e2")
    with pytest.raises(ConfigNotReadyError):
        fleet.result(survivor.publish(SECOND, 1, "bor"), 5.0)
    survivor.offer(service.document())
    fleet.entries.pop(0)
    fleet.advance(9 * TIMING.checkpoint_s)
    assert survivor.state.is_complete
    assert survivor.state.version == 1
    assert fleet.result(survivor.publish(SECOND, 1, "bor")) > 1


def test_entry_that_missed_records_does_not_restore_an_older_version(fleet):
    """Guards against a new entry restoring a version that was already replaced."""
    first = fleet.add("e1")
    fleet.result(first.publish(FIRST, 0, "ana"))
    stale = first.document()
    fleet.result(first.publish(SECOND, 1, "ana"))
    fleet.model.expire_before(CONFIG_STREAM, 2)
    behind = fleet.add("e2", pull=False)
    behind.offer(stale)
    fleet.advance(6 * TIMING.checkpoint_s)
    assert behind.version == first.version == 2
    newest = fleet.add("e3", pull=False)
    fleet.advance(5.0)
    assert newest.version == 2
    assert newest.state.is_complete


def test_version_is_restored_to_a_log_that_lost_all_records(fleet):
    service = fleet.add("e1")
    fleet.result(service.publish(FIRST, 0, "ana"))
    version_two = fleet.result(service.publish(SECOND, 1, "ana"))
    ahead = service.document()
    service.stop()
    other = LogModel(LogSettings(), Random(3))
    fleet.log.model = fleet.model = other
    fleet.entries.clear()
    fresh = fleet.add("e5")
    fresh.offer(ahead)
    fleet.advance(2 * TIMING.restore_s)
    assert fresh.state.version == version_two
    assert fleet.result(fresh.publish(FIRST, version_two, "bor")) != version_two


def test_refused_retry_after_a_lost_reply_is_an_unknown_outcome(fleet):
    service = fleet.add("e1")
    log = fleet.log
    appended = []

    class LimitedLog:
        async def read(self, stream, offset, limit):
            if appended:
                raise LogRateLimitedError("too many reads")
            return await log.read(stream, offset, limit)

        async def append(self, stream, payloads):
            if not appended:
                appended.append(await log.append(stream, payloads))
                raise AppendOutcomeUnknownError("lost")
            raise LogUnavailableError("down")

    service._stream._log = LimitedLog()
    with pytest.raises(ConfigOutcomeUnknownError):
        fleet.result(service.publish(FIRST, 0, "ana"))
    assert len(appended) == 1


def test_older_offer_never_reverts(fleet):
    service = fleet.add("e1")
    fleet.result(service.publish(FIRST, 0, "ana"))
    old = service.document()
    fleet.result(service.publish(SECOND, 1, "ana"))
    assert not service.offer(old)
    assert service.current == SECOND


def test_backend_server_gets_only_its_part_of_the_configuration(fleet):
    service = fleet.add("e1")
    assert service.document_for("vezi-lm", "vezi-lm-2").version == 0
    complete_cfg = generate(load_example("vezi"))
    fleet.result(service.publish(complete_cfg, 0, "ana"))
    server_document = service.document_for("vezi-lm", "vezi-lm-2")
    reduced_cfg = decode_configuration(server_document.document)
    assert server_document.version == service.version == 1
    assert [s.name for s in reduced_cfg.services] == ["vezi-lm"]
    assert reduced_cfg.service("vezi-lm") == complete_cfg.service("vezi-lm")
    assert [s.name for s in reduced_cfg.backend_servers] == ["vezi-lm-2"]
    assert not reduced_cfg.api_keys + reduced_cfg.operator_keys + reduced_cfg.workspaces
    assert len(server_document.document) < len(service.document().document) / 3
    for key in complete_cfg.api_keys + complete_cfg.operator_keys:
        assert key.digest.encode() not in server_document.document
