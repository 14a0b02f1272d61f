"""The configuration in force, folded from the configuration stream."""

import attrs

from ..log import Record
from ._published import ConfigCheckpoint, ConfigPublished
from ._version import ConfigVersion

HISTORY_LENGTH = 20
REMEMBERED_OUTCOMES = 200
REFUSED = 0


@attrs.define
class ConfigState:
    """Decides which publications take effect; every reader decides alike.

        state = ConfigState()
        state.apply(0, Record("r1", ConfigPublished(0, b"...", "ana")))
        state.version == 1

    The result depends on the records and their offsets alone. A record whose id was
    seen before is ignored, also when the first was refused.

    A reader that begins after records have expired, or that missed some, cannot tell
    which publications were accepted. It decides nothing, and ``complete`` is false,
    until it meets a checkpoint whose ``as_of`` it has read from.
    """

    version: int = 0
    next_offset: int = 0
    complete: bool = True
    carried_at: int = -1
    history: list[ConfigVersion] = attrs.field(factory=list)
    outcomes: dict[str, int] = attrs.field(factory=dict)
    _gap_end: int = 0
    _undecided: list[tuple[int, Record]] = attrs.field(factory=list)

    @property
    def current(self) -> ConfigVersion | None:
        """The configuration in force, or `None` before the first one."""
        return self.history[-1] if self.history else None

    def apply(self, offset: int, record: Record | None) -> bool:
        """Takes the record at ``offset`` and tells whether the version changed.

        `None` stands for a record that this program cannot read.
        """
        if offset < self.next_offset:
            return False
        if offset > self.next_offset:
            self.skip_to(offset)
        self.next_offset = offset + 1
        if record is None:
            return False
        before = self.version
        if self.complete:
            self._decide(offset, record)
        else:
            self._await_checkpoint(offset, record)
        return self.version != before

    def skip_to(self, offset: int) -> None:
        """Notes that the records up to ``offset`` expired before they were read."""
        if offset > self.next_offset:
            self.complete = False
            self.next_offset = offset
            self._gap_end = offset
            self._undecided.clear()

    def outcome_of(self, record_id: str) -> int | None:
        """Returns the version a publication got, `REFUSED`, or `None` if unknown."""
        return self.outcomes.get(record_id)

    def checkpoint(self) -> ConfigCheckpoint | None:
        """Returns the record that repeats this state, or `None` if there is none."""
        current = self.current
        if current is None or not self.complete:
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
            self._undecided.append((offset, record))
            return
        if not self._gap_end <= body.as_of <= offset:
            return
        self.complete = True
        self.outcomes = dict(body.outcomes)
        self._enter(offset, _version_of(body))
        later = [entry for entry in self._undecided if entry[0] >= body.as_of]
        self._undecided.clear()
        for earlier_offset, earlier in later:
            self._decide(earlier_offset, earlier)

    def _decide(self, offset: int, record: Record) -> None:
        if isinstance(record.body, ConfigPublished):
            self._decide_publication(offset, record)
        elif isinstance(record.body, ConfigCheckpoint):
            self._take_checkpoint(offset, record.body)

    def _decide_publication(self, offset: int, record: Record) -> None:
        if record.record_id in self.outcomes:
            return
        body = record.body
        accepted = body.base_version == self.version
        # Offsets begin anew if the log service was replaced; versions do not.
        number = max(offset, self.version) + 1
        self.outcomes[record.record_id] = number if accepted else REFUSED
        while len(self.outcomes) > REMEMBERED_OUTCOMES:
            del self.outcomes[next(iter(self.outcomes))]
        if accepted:
            version = ConfigVersion(
                number, body.document, body.author, body.note, body.published_at
            )
            self._enter(offset, version)

    def _take_checkpoint(self, offset: int, body: ConfigCheckpoint) -> None:
        if body.version > self.version:
            self._enter(offset, _version_of(body))
        elif body.version == self.version:
            self.carried_at = offset

    def _enter(self, offset: int, entry: ConfigVersion) -> None:
        self.carried_at = offset
        if entry.version <= self.version:
            return
        self.version = entry.version
        self.history.append(entry)
        del self.history[:-HISTORY_LENGTH]


def _version_of(body: ConfigCheckpoint) -> ConfigVersion:
    return ConfigVersion(
        body.version, body.document, body.author, body.note, body.published_at
    )
