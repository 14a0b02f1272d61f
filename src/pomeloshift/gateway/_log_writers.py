"""The writers of all topics that a gateway appends to."""

from collections.abc import Iterator
from typing import Any

import attrs

from ..appends import CallPace
from ..platform import StoreClient
from ._events import EventLog
from ._log_writer import LogWriter


@attrs.define
class LogWriters:
    """Makes a `LogWriter` for each topic and lists those that were made.

    ``producer`` identifies this process in the store. All writers share ``pace``, as
    they share the path to the store.
    """

    store: StoreClient
    producer: str
    pace: CallPace
    reactor: Any
    events: EventLog
    _writers: list[LogWriter] = attrs.field(factory=list, init=False)

    def new(self, topic: str, partition: int) -> LogWriter:
        """Returns a writer for a partition that has none yet."""
        writer = LogWriter(
            topic,
            partition,
            self.store,
            self.producer,
            self.pace,
            self.reactor,
            self.events,
        )
        self._writers.append(writer)
        return writer

    def __iter__(self) -> Iterator[LogWriter]:
        return iter(self._writers)
