"""A machine is stopped as planned while callers wait for results of a batch job."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness import (
    ENGINE_IP,
    STORE_IP,
    ClosedError,
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

READERS = 8
LOSS_SLACK_S = 0.2
GRACE_S = 8.0


async def scenario(record, folder, has_trouble, started):
    store = Store()
    await store.listen(STORE_IP)
    started.append(store)
    publish(store, record, 1, [route("chat", "streaming"), route("nightly", "batch")])
    for number in range(3):
        engine = Engine(record, f"i-{number}", events=300, gap_s=0.04)
        await engine.listen(ENGINE_IP)
        engine.register(store, zone="b")
        started.append(engine)
    gateways = []
    for number, zone in enumerate("ab"):
        ip = gateway_ip(number)
        gateway = Gateway(record, folder, f"edge-{zone}", ip, zone, store.address)
        started.append(gateway)
        await gateway.start()
        gateways.append(gateway)
    for gateway in gateways:
        await gateway.until_ready()
    await asyncio.sleep(3)
    stopped, other = gateways

    # Runs last 12 s, so that no result is due while the machine stops.
    body = job("/nightly/", "j1", 4)
    if await submit(record, other, "/nightly/j1", "j1", body) != 202:
        raise RuntimeError("the batch job is not accepted")
    await asyncio.sleep(1)
    breaks = []
    stop_at = record.now() + 1
    until = stop_at + GRACE_S

    async def read_all_the_time(number):
        """Reads twice in three seconds; a reader leaves when the port is closed."""
        await asyncio.sleep(number * 0.13)
        while record.now() < until:
            sent_at = record.now()
            what = f"reader {number}: read sent at {sent_at:.3f}"
            try:
                status, _ = await read_job(stopped, "j1", 0, 1000)
                record(f"{what} answered {status}")
            except ClosedError as exc:
                took_s = record.now() - sent_at
                record(f"{what}: {exc} after {took_s:.3f} s")
                if "no connection" in str(exc):
                    return
                if took_s > LOSS_SLACK_S:
                    breaks.append(f"LOST: {what} ends without an answer")
            await asyncio.sleep(0.5)

    async def stop():
        await asyncio.sleep(stop_at - record.now())
        if has_trouble:
            stopped.signal(signal.SIGTERM)

    await asyncio.gather(stop(), *map(read_all_the_time, range(READERS)))
    return breaks


play(__file__, scenario)
