"""Batch jobs whose state is replayed from the platform's log.

An entry is here a gateway, which sends requests to engines itself.
"""

from ._batch_slots import PEAK_S, BatchSlots
from ._blob_ref import BlobRef
from ._cap_room import CapRoom
from ._fragments import Assembler, base_key, split
from ._item import Item, ItemKey, ItemState, NewItem, Result
from ._item_claim import CLAIM_VALID_S, ItemClaim
from ._item_outcome import AfterRun, ItemPolicy
from ._item_routes import ItemRoutes, queue_name
from ._job import DurableProgress, Job
from ._job_table import JobTable
from ._ownership import Ownership, claim_of, rank_among
from ._progress import Progress
from ._records import (
    ItemFailed,
    ItemProgress,
    ItemReleased,
    ItemResumed,
    ItemSettled,
    JobEnded,
    JobRecord,
    JobSubmitted,
    decode_record,
    encode_record,
)
from ._refused_job import RefusedJob
from ._share import Share
from ._unrouted_items import UNROUTED_S, UnroutedItems
from ._work_queue import WorkItem, WorkQueue

__all__ = [
    "CLAIM_VALID_S",
    "PEAK_S",
    "UNROUTED_S",
    "AfterRun",
    "Assembler",
    "BatchSlots",
    "BlobRef",
    "CapRoom",
    "DurableProgress",
    "Item",
    "ItemClaim",
    "ItemFailed",
    "ItemKey",
    "ItemPolicy",
    "ItemProgress",
    "ItemReleased",
    "ItemResumed",
    "ItemRoutes",
    "ItemSettled",
    "ItemState",
    "Job",
    "JobEnded",
    "JobRecord",
    "JobSubmitted",
    "JobTable",
    "NewItem",
    "Ownership",
    "Progress",
    "RefusedJob",
    "Result",
    "Share",
    "UnroutedItems",
    "WorkItem",
    "WorkQueue",
    "base_key",
    "claim_of",
    "queue_name",
    "rank_among",
    "decode_record",
    "encode_record",
    "split",
]
