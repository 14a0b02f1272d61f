"""The operator splits a batch route while items of an accepted job wait."""

import asyncio
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

ITEMS = 12
FINISH_S = 18.0
CONFIG_APPLY_S = 2.5
CALM_S = 5.0


async def scenario(record, folder, has_trouble, started):
    store = Store()
    await store.listen(STORE_IP)
    started.append(store)
    chat, nightly = route("chat", "streaming"), route("nightly", "batch")
    publish(store, record, 1, [chat, nightly])
    engines = []
    for number in range(3):
        engine = Engine(record, f"i-{number}", slots=2, events=100, gap_s=0.04)
        await engine.listen(ENGINE_IP)
        engine.register(store)
        engines.append(engine)
        started.append(engine)
    gateways = []
    for number in range(2):
        ip = gateway_ip(number)
        gateway = Gateway(record, folder, f"edge-{number}", ip, "a", store.address)
        started.append(gateway)
        await gateway.start()
        gateways.append(gateway)
    for gateway in gateways:
        await gateway.until_ready()
    await asyncio.sleep(3)

    body = job("/nightly/", "j1", ITEMS)
    if await submit(record, gateways[0], "/nightly/j1", "j1", body) != 202:
        raise RuntimeError("the batch job is not accepted")
    await asyncio.sleep(1)
    if has_trouble:
        parts = [
            route("nightly-a", "batch", pathPrefix="/nightly/a/"),
            route("nightly-b", "batch", pathPrefix="/nightly/b/"),
        ]
        publish(store, record, 2, [chat, *parts])
    else:
        slower = route("chat", "streaming", timeoutMs=6000)
        publish(store, record, 2, [slower, nightly])

    # No traffic follows: the batch job has the time for the configuration and finishS.
    until = record.now() + CONFIG_APPLY_S + FINISH_S
    busy_at, listed = record.now(), -1
    while record.now() < until:
        if any(engine.running for engine in engines):
            busy_at = record.now()
        status, answer = await read_job(gateways[1], "j1")
        rows = answer["results"] if status == 200 else []
        if len(rows) != listed:
            listed = len(rows)
            record(f"edge-1 answers {status}: {listed} of {ITEMS} items are listed")
        await asyncio.sleep(0.25)
    ran = {request for engine in engines for request in engine.runs}
    record(f"{len(ran)} items ever reached an engine; engines idle since {busy_at:.1f}")
    if listed < ITEMS and record.now() - busy_at > CALM_S:
        return [
            f"LOST: {ITEMS - listed} of {ITEMS} items of an open, accepted batch job "
            f"are listed neither as completed nor as dead_letter after finishS"
        ]
    return []


play(__file__, scenario)
