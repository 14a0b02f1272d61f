"""Batch jobs whose state is folded from the platform's log."""

from ._fragments import Assembler, split
from ._item import Item, ItemState, Result
from ._item_outcome import AfterRun, ItemPolicy
from ._job import Job, Progress
from ._job_book import JobBook
from ._ownership import partition_of
from ._records import (
    ItemFailed,
    ItemProgress,
    ItemSettled,
    JobEnded,
    JobRecord,
    JobSubmitted,
    decode_record,
    encode_record,
)
from ._work_queue import WorkItem, WorkQueue

__all__ = [
    "AfterRun",
    "Assembler",
    "Item",
    "ItemFailed",
    "ItemPolicy",
    "ItemProgress",
    "ItemSettled",
    "ItemState",
    "Job",
    "JobBook",
    "JobEnded",
    "JobRecord",
    "JobSubmitted",
    "Progress",
    "Result",
    "WorkItem",
    "WorkQueue",
    "decode_record",
    "encode_record",
    "partition_of",
    "split",
]
