"""One item of a batch job has a blank after the value of a header."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness import (
    ENGINE_IP,
    STORE_IP,
    Engine,
    Gateway,
    Store,
    gateway_ip,
    job,
    play,
    publish,
    read_job,
    route,
    submit,
)

ITEMS = 4
FINISH_S = 18.0
CALM_S = 5.0


async def scenario(record, folder, has_trouble, started):
    store = Store()
    await store.listen(STORE_IP)
    started.append(store)
    publish(store, record, 1, [route("chat", "streaming"), route("nightly", "batch")])
    engines = []
    for number in range(3):
        engine = Engine(record, f"i-{number}", events=50, gap_s=0.02)
        await engine.listen(ENGINE_IP)
        engine.register(store)
        engines.append(engine)
        started.append(engine)
    gateways = []
    for number in range(3):
        ip = gateway_ip(number)
        gateway = Gateway(record, folder, f"edge-{number}", ip, "a", store.address)
        started.append(gateway)
        await gateway.start()
        gateways.append(gateway)
    for gateway in gateways:
        await gateway.until_ready()
    await asyncio.sleep(3)

    document = json.loads(job("/nightly/", "j1", ITEMS))
    if has_trouble:
        document["items"][1]["headers"]["X-Token-Count"] += " "
    body = json.dumps(document).encode()
    status = await submit(record, gateways[0], "/nightly/j1", "j1", body)
    if status in (400, 422):
        record("the batch job is refused for good: nothing was promised")
        return []
    if status != 202:
        raise RuntimeError("the batch job is not accepted")

    # No traffic follows: the batch job has finishS.
    until = record.now() + FINISH_S
    busy_at, listed, shown_at = record.now(), -1, record.now()
    while record.now() < until:
        if any(engine.running for engine in engines):
            busy_at = record.now()
        status, answer = await read_job(gateways[1], "j1")
        rows = answer["results"] if status == 200 else []
        if len(rows) != listed:
            listed = len(rows)
            record(f"edge-1 answers {status}: {listed} of {ITEMS} items are listed")
        if record.now() - shown_at >= 3:
            shown_at = record.now()
            channels = [engine.open_channels for engine in engines]
            record(f"channels open at the engines: {channels}")
        await asyncio.sleep(0.25)
    ran = sorted({request for engine in engines for request in engine.runs})
    record(f"items that reached an engine: {', '.join(ran)}")
    if listed < ITEMS and record.now() - busy_at > CALM_S:
        return [
            f"LOST: {ITEMS - listed} of {ITEMS} items of an open, accepted batch job "
            f"are listed neither as completed nor as dead_letter after finishS"
        ]
    return []


play(__file__, scenario)
