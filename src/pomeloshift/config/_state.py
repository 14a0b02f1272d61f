"""The configuration in force, replayed from the configuration stream."""

import attrs

from ..log import Record
from ._published import ConfigCheckpoint, ConfigPublished
from ._version import ConfigVersion

MAX_HISTORY = 20
MAX_OUTCOMES = 200
REFUSED = 0


@attrs.define
class ConfigState:
    """Decides which publications are accepted, identically in every reader.

        state = ConfigState()
        state.apply(0, Record("r1", ConfigPublished(0, b"...", "ana")))
        state.version == 1

    The result depends only on the records and their offsets. A publication whose
    record id was seen before is ignored, even if the first one was refused.

    A reader that starts after records have expired, or that missed some, does not
    know which publications were accepted. It decides nothing, and ``is_complete`` is
    false, until it reads a checkpoint that covers the missed records.

    ``checkpointed_at`` is the offset of the latest record with the version in force, or
    -1. ``outcomes`` maps the record ids of recent publications to their versions.
    """

    version: int = 0
    next_offset: int = 0
    is_complete: bool = True
    checkpointed_at: int = -1
    history: list[ConfigVersion] = attrs.field(factory=list)
    outcomes: dict[str, int] = attrs.field(factory=dict)
    _gap_end: int = 0
    _deferred: list[tuple[int, Record]] = attrs.field(factory=list)

    @property
    def current(self) -> ConfigVersion | None:
        """The configuration in force, or `None` before the first one."""
        return self.history[-1] if self.history else None

    def apply(self, offset: int, record: Record | None) -> bool:
        """Applies the record at ``offset``; returns whether the version changed.

        Pass `None` for a record that this program cannot decode.
        """
        if offset < self.next_offset:
            return False
        if offset > self.next_offset:
            self.skip_to(offset)
        self.next_offset = offset + 1
        if record is None:
            return False
        before = self.version
        if self.is_complete:
            self._apply_record(offset, record)
        else:
            self._await_checkpoint(offset, record)
        return self.version != before

    def skip_to(self, offset: int) -> None:
        """Called when the records before ``offset`` expired before they were read."""
        if offset > self.next_offset:
            self.is_complete = False
            self.next_offset = offset
            self._gap_end = offset
            self._deferred.clear()

    def outcome_of(self, record_id: str) -> int | None:
        """Returns a publication's version, `REFUSED`, or `None` if it is unknown."""
        return self.outcomes.get(record_id)

    def checkpoint(self) -> ConfigCheckpoint | None:
        """Returns a checkpoint of this state.

        It is `None` before the first publication and while the state is incomplete.
        """
        current = self.current
        if current is None or not self.is_complete:
            return None
        return ConfigCheckpoint(
            self.next_offset,
            current.version,
            current.document,
            current.author,
            current.note,
            current.published_at,
            dict(self.outcomes),
        )

    def _await_checkpoint(self, offset: int, record: Record) -> None:
        body = record.body
        if not isinstance(body, ConfigCheckpoint):
            self._deferred.append((offset, record))
            return
        if not self._gap_end <= body.as_of <= offset:
            return
        self.is_complete = True
        self.outcomes = dict(body.outcomes)
        self._add_version(offset, _version_of(body))
        uncovered = [item for item in self._deferred if item[0] >= body.as_of]
        self._deferred.clear()
        for deferred_offset, deferred in uncovered:
            self._apply_record(deferred_offset, deferred)

    def _apply_record(self, offset: int, record: Record) -> None:
        if isinstance(record.body, ConfigPublished):
            self._decide_publication(offset, record)
        elif isinstance(record.body, ConfigCheckpoint):
            self._apply_checkpoint(offset, record.body)

    def _decide_publication(self, offset: int, record: Record) -> None:
        if record.record_id in self.outcomes:
            return
        body = record.body
        accepted = body.base_version == self.version
        # Offsets restart if the log service is replaced; versions must not.
        number = max(offset, self.version) + 1
        self.outcomes[record.record_id] = number if accepted else REFUSED
        while len(self.outcomes) > MAX_OUTCOMES:
            del self.outcomes[next(iter(self.outcomes))]
        if accepted:
            version = ConfigVersion(
                number, body.document, body.author, body.note, body.published_at
            )
            self._add_version(offset, version)

    def _apply_checkpoint(self, offset: int, body: ConfigCheckpoint) -> None:
        if body.version > self.version:
            self._add_version(offset, _version_of(body))
        elif body.version == self.version:
            self.checkpointed_at = offset

    def _add_version(self, offset: int, version: ConfigVersion) -> None:
        self.checkpointed_at = offset
        if version.version <= self.version:
            return
        self.version = version.version
        self.history.append(version)
        del self.history[:-MAX_HISTORY]


def _version_of(body: ConfigCheckpoint) -> ConfigVersion:
    return ConfigVersion(
        body.version, body.document, body.author, body.note, body.published_at
    )
