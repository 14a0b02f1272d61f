"""Removes the records of refused jobs."""

from typing import Any

import attrs

from ..errors import PomeloshiftError
from ..jobs import RefusedJob
from ._blob_store import BlobStore
from ._events import EventLog
from ._job_log import JobLog
from ._log_writer import Append


@attrs.define
class RefusedRecords:
    """Removes refused job records and the bodies that were stored for them."""

    log: JobLog
    blobs: BlobStore
    events: EventLog

    def remove(self, refusal: RefusedJob) -> Append:
        """Queues the removal of a record; the bodies follow once it is durable."""
        removal = self.log.writer.append([(key, None) for key in refusal.keys])
        removal.done.addCallback(self._remove_bodies, refusal)
        return removal

    def note_failure(self, failure: Any) -> None:
        """Logs an error of a removal; the cleaner tries it again."""
        failure.trap(PomeloshiftError)
        self.events.warn("removal_failed", why=failure.value.message)

    def _remove_bodies(self, offset: int, refusal: RefusedJob) -> int:
        self.blobs.remove(list(refusal.bodies))
        return offset
