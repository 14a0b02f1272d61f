"""Builds job services for tests, and a scripted sidecar that runs their items."""

import json
from random import Random

from pomeloshift.batch import OwnerSettings
from pomeloshift.config import Configuration, ServiceConfig, WorkspaceConfig
from pomeloshift.entry.batch import BatchSettings, JobService
from pomeloshift.log import CommitLimits
from pomeloshift.model import Instance, InstanceRole, Place
from pomeloshift.net import SystemClock
from pomeloshift.wire import ItemOutcome, ItemPull, ItemResults

PARTITIONS = 4
RESULT_TRIES = 50
ENDPOINT = "/v1/chat/completions"
PLACE = Place("gorenjska", "kranj-a")
SETTINGS = BatchSettings(
    OwnerSettings(lease_s=5, retry_delay_s=0.01, suspect_delay_s=0.01),
    CommitLimits(min_interval_s=0.005, retry_base_s=0.02, retry_max_s=0.1),
    ownership_s=0.05,
    appends_per_s=2000,
    poll_s=0.05,
    commit_wait_s=2.0,
    accept_s=5.0,
    open_s=5.0,
)
CONFIG = Configuration(
    "test",
    services=(ServiceConfig("lm"), ServiceConfig("other")),
    workspaces=(WorkspaceConfig("w"),),
)


def jsonl(count, model="lm", size=10):
    return b"".join(
        json.dumps(
            {
                "custom_id": f"c{number}",
                "method": "POST",
                "url": ENDPOINT,
                "body": {"model": model, "max_tokens": 5, "prompt": "x" * size},
            }
        ).encode()
        + b"\n"
        for number in range(count)
    )


def entry(name, address="127.0.0.1:1"):
    return Instance(name, InstanceRole.ENTRY, PLACE, address)


def job_service(
    name, log, reactor, entries, clock=None, settings=SETTINGS, cfg=CONFIG, peers=None
):
    return JobService(
        name,
        log,
        clock or SystemClock(),
        reactor,
        Random(name),
        lambda: entries,
        lambda: cfg,
        PARTITIONS,
        "internal-key",
        settings,
        peers,
    )


class ScriptedSidecar:
    """Pulls items and reports the same kind of outcome for all of them.

    ``ran`` lists each granted item as job id and index, repeats included.
    """

    def __init__(self, name="s1"):
        self.name = name
        self.nonce = 0
        self.ran = []

    async def pull(self, service, items=100, held=None):
        self.nonce += 1
        return await service.pull(
            ItemPull(self.name, 1, self.nonce, "gorenjska", "lm", 10**9, items, held)
        )

    async def run(self, service, items=100, error=None):
        grants = await self.pull(service, items)
        self.ran += [(item.job_id, item.index) for item in grants.items]
        outcomes = tuple(self.outcome(item, error) for item in grants.items)
        if not outcomes:
            return 0
        for _ in range(RESULT_TRIES):
            reply = await service.results(ItemResults(self.name, 1, outcomes))
            if reply.error is None:
                return len(outcomes)
        raise AssertionError("the results were not acknowledged")

    def outcome(self, item, error=None):
        body = json.dumps({"n": item.index}).encode()
        return ItemOutcome(
            item.partition, item.job_id, item.index, item.lease_id, 200, body, 1, error
        )
