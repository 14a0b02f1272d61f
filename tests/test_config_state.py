import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomeloshift.config import (
    REFUSED,
    ConfigCheckpoint,
    ConfigDocumentError,
    ConfigHolder,
    ConfigPublished,
    ConfigState,
    Configuration,
    decode_configuration,
    encode_configuration,
)
from pomeloshift.log import Record, RecordCodec

DOCUMENT = encode_configuration(Configuration("vezi"))


def published(record_id, base, document=DOCUMENT):
    return Record(record_id, ConfigPublished(base, document, "ana"))


def replay(records, start=0):
    state = ConfigState()
    if start:
        state.skip_to(start)
    for offset, record in records:
        if offset >= start:
            state.apply(offset, record)
    return state


def test_publication_on_the_version_in_force_is_accepted():
    state = replay([(0, published("a", 0)), (1, published("b", 1))])
    assert state.version == 2
    assert state.outcome_of("a") == 1
    assert [entry.version for entry in state.history] == [1, 2]


def test_first_of_two_publications_on_one_base_wins():
    state = replay([(0, published("a", 0)), (1, published("b", 0))])
    assert state.version == 1
    assert state.outcome_of("b") == REFUSED


def test_repeated_record_changes_nothing():
    records = [(0, published("a", 0)), (1, published("b", 0)), (2, published("c", 1))]
    records += [(3, published("b", 3)), (4, published("a", 3))]
    state = replay(records)
    assert state.version == 3
    assert state.outcome_of("b") == REFUSED


def test_late_checkpoint_does_not_revert():
    first = replay([(0, published("a", 0))])
    late = Record("checkpoint", first.checkpoint())
    state = replay([(0, published("a", 0)), (1, published("b", 1)), (2, late)])
    assert state.version == 2


def test_reader_after_expiry_waits_for_a_checkpoint_of_the_missed_records():
    records = [(0, published("a", 0)), (1, published("b", 1))]
    stale = replay(records[:1]).checkpoint()
    fresh = replay(records).checkpoint()
    log = [*records, (2, Record("s", stale)), (3, published("c", 2))]
    behind = replay(log, start=2)
    assert not behind.is_complete
    assert behind.version == 0
    assert behind.checkpoint() is None
    log.append((4, Record("f", fresh)))
    assert replay(log, start=2).version == replay(log).version == 4


def test_missed_records_make_a_reader_incomplete():
    state = replay([(0, published("a", 0)), (5, published("b", 1))])
    assert not state.is_complete
    assert state.version == 1


def test_checkpoint_of_a_higher_version_restores_it():
    ahead = ConfigCheckpoint(0, 40, DOCUMENT, "ana")
    assert replay([(0, Record("r", ahead))]).version == 40


@st.composite
def logs(draw):
    """A log with publications and checkpoints, some of them repeated or outdated."""
    state = ConfigState()
    log = []
    checkpoints = []
    for offset in range(draw(st.integers(1, 25))):
        kind = draw(st.sampled_from(["good", "stale", "repeat", "keep", "late"]))
        if kind == "keep" and state.checkpoint() is not None:
            checkpoints.append(state.checkpoint())
        if kind == "repeat" and log:
            record = draw(st.sampled_from(log))[1]
        elif kind in ("keep", "late") and checkpoints:
            late = draw(st.sampled_from(checkpoints))
            record = Record(f"r{offset}", late if kind == "late" else checkpoints[-1])
        else:
            base = state.version if kind == "good" else draw(st.integers(0, 25))
            document = encode_configuration(Configuration(f"d{offset}"))
            record = published(f"r{offset}", base, document)
        log.append((offset, record))
        state.apply(offset, record)
    return log


@given(logs(), st.integers(0, 25))
def test_every_complete_reader_accepts_the_same_publications(log, start):
    full = replay(log)
    partial = replay(log, start)
    if partial.is_complete:
        assert partial.version == full.version
        assert partial.current == full.current
        assert partial.outcomes == full.outcomes
    elif partial.next_offset == full.next_offset:
        assert partial.version <= full.version


@given(logs(), st.data())
def test_versions_only_increase_and_repeated_pages_change_nothing(log, data):
    state = ConfigState()
    versions = []
    for offset, record in log:
        state.apply(offset, record)
        versions.append(state.version)
        again = data.draw(st.integers(0, offset))
        for old_offset, old in log[again : offset + 1]:
            assert not state.apply(old_offset, old)
    assert versions == sorted(versions)
    assert state == replay(log)


def test_records_round_trip_through_the_codec():
    codec = RecordCodec([ConfigPublished, ConfigCheckpoint])
    state = replay([(0, published("a", 0))])
    for record in (published("a", 3), Record("c", state.checkpoint())):
        assert codec.decode(codec.encode(record)) == record


def test_configuration_document_round_trip_and_rejection():
    assert decode_configuration(DOCUMENT) == Configuration("vezi")
    with pytest.raises(ConfigDocumentError):
        decode_configuration(b"\xc1")


def test_holder_applies_higher_versions_only():
    holder = ConfigHolder()
    assert holder.offer(3, DOCUMENT)
    assert not holder.offer(3, DOCUMENT)
    assert not holder.offer(2, encode_configuration(Configuration("other")))
    assert holder.current == Configuration("vezi")


def test_holder_pulls_from_the_peer_that_is_furthest_ahead():
    holder = ConfigHolder()
    assert holder.observe("p1", 2)
    assert holder.observe("p2", 4)
    assert holder.next_pull() == "p2"
    holder.remove_peer("p2")
    assert holder.next_pull() == "p1"
    holder.offer(2, DOCUMENT)
    assert holder.next_pull() is None
    assert not holder.observe("p1", 2)
