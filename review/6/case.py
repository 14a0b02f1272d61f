"""A large batch job at gateways whose link to the store is that of another region."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from deployment import (  # noqa: E402
    Engine,
    Gateway,
    Link,
    Store,
    batch_route,
    config,
    job_body,
    main,
    read_results,
    submit,
)

REGIONS = {"suva-a": "viti-levu", "labasa-a": "vanua-levu"}
# SYSTEM.md: between two regions 20 ms one way and 15 Mbit/s each way, for all traffic.
DELAY_S = 0.02
MBPS = 15.0
ITEM_BYTES = 15_000
# Below the 200 items, 4 MiB of a body and 2 MiB of a call that the pages allow.
LARGE_ITEMS = 130
FINISH_S = 18.0
CALM_S = 5.0
UNFINISHED_S = 3.0


async def give(record, gateways, job_id, count):
    """Submits a job as a client does, which retries once at another gateway."""
    body = job_body(job_id, [b"%05d" % n * (ITEM_BYTES // 5) for n in range(count)])
    status = 0
    for gateway in gateways:
        status = await submit(gateway.front, job_id, body)
        record.note(f"job {job_id} of {count} items at {gateway.name}: {status}")
        if status == 202:
            break
    return status == 202


async def watch_calm(engines, accepted, state):
    """Notes when an engine last had an item of the job, or was half full."""
    while True:
        for engine in engines:
            has_item = any(one.startswith(accepted) for one in engine.active)
            if has_item or 2 * len(engine.active) >= engine.slots:
                state["busy_at"] = time.monotonic()
        await asyncio.sleep(0.05)


async def play(record, scratch, trouble):
    store = Store()
    await store.listen()
    link = Link(store.address, DELAY_S, MBPS if trouble else 1000.0)
    await link.listen()
    engines = [
        Engine(f"i-{n}", "labasa-a", record, events=40, gap_s=0.15) for n in (1, 2)
    ]
    for engine in engines:
        await engine.listen()
    await store.put("keyed.op", "config", config([batch_route()]))
    state = {"busy_at": 0.0}
    tasks = [asyncio.create_task(engine.beat(store)) for engine in engines]
    tasks.append(asyncio.create_task(watch_calm(engines, "a0a0", state)))
    gateways = [
        Gateway(scratch, number, link.address, "labasa-a", REGIONS)
        for number in (1, 2)
    ]
    try:
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            if not await gateway.wait_ready():
                record.note(f"{gateway.name} is not ready")
                return None
        await asyncio.sleep(3.0)
        if not await give(record, gateways, "a0a0", 16):
            return None
        await asyncio.sleep(0.3)
        await give(record, gateways, "b0b0", LARGE_ITEMS)
        for number in range(4):
            await give(record, gateways[:: -1 if number % 2 else 1], f"c{number}c0", 3)
            await asyncio.sleep(2.0)
        record.note("traffic has ended")
        await asyncio.sleep(FINISH_S)
        return await judge(record, gateways, engines, state)
    finally:
        for task in tasks:
            task.cancel()
        for gateway in gateways:
            await gateway.stop()


async def judge(record, gateways, engines, state):
    """Returns whether LOST holds: each item of the open job is listed by now."""
    now = time.monotonic()
    finished = [at for engine in engines for at, _ in engine.done]
    record.note(f"an engine last had an item of the job {now - state['busy_at']:.1f} s ago")
    record.note(f"an item was last finished {now - max(finished):.1f} s ago")
    ran = {one for engine in engines for _, one in engine.done}
    record.note(f"{sum(one.startswith('a0a0') for one in ran)} items of a0a0 have run")
    listed = []
    for gateway in gateways:
        results = await read_results(gateway.front, "a0a0")
        count = None if results is None else len(results)
        record.note(f"{gateway.name} lists {count} of 16 items of a0a0")
        listed.append(count or 0)
    if max(listed) == 16:
        return True
    if now - state["busy_at"] < CALM_S or now - max(finished) < UNFINISHED_S:
        record.note("the engines were not calm, which excuses it")
        return True
    return False


main(play, HERE)
