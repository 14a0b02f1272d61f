"""The operator removes a batch route while callers still read finished results."""

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
    whole_text,
)

ITEMS = 4
EVENTS = 40
CONFIG_APPLY_S = 2.5
CONTACT_S = 4.0


async def scenario(record, folder, has_trouble, started):
    store = Store()
    await store.listen(STORE_IP)
    started.append(store)
    chat, nightly = route("chat", "streaming"), route("nightly", "batch")
    publish(store, record, 1, [chat, nightly])
    for number in range(3):
        engine = Engine(record, f"i-{number}", events=EVENTS, gap_s=0.02)
        await engine.listen(ENGINE_IP)
        engine.register(store)
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
    for _ in range(60):
        status, answer = await read_job(gateways[1], "j1")
        if status == 200 and len(answer["results"]) == ITEMS:
            break
        await asyncio.sleep(0.2)
    rows = answer["results"]
    text = whole_text(EVENTS)
    if len(rows) != ITEMS or any(row["text"] != text for row in rows):
        raise RuntimeError("the batch job is not completed")
    record(f"edge-1 lists all {ITEMS} items as completed; the caller has read them")

    slower = route("chat", "streaming", timeoutMs=6000)
    publish(store, record, 2, [slower] if has_trouble else [slower, nightly])
    await asyncio.sleep(CONFIG_APPLY_S + CONTACT_S)
    breaks = []
    for _ in range(3):
        for gateway in gateways:
            status, again = await read_job(gateway, "j1")
            record(f"{gateway.name} answers {status} for the batch job j1")
            if status in (404, 410):
                breaks.append(f"LOST: {gateway.name} answers {status} for j1")
            elif status == 200 and again["results"] != rows:
                breaks.append(f"LOST: {gateway.name} has other results of j1")
        await asyncio.sleep(1)
    return breaks


play(__file__, scenario)
