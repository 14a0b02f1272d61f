"""Workspaces whose rate is limited over all gateways together."""

from types import SimpleNamespace

import msgspec
import pytest
from loguru import logger

from _gateway import config
from pomeloshift.dispatch import Workspace
from pomeloshift.gateway._workspace_rates import WorkspaceRates

BURST = 6
RATE = 0.5  # requests a second
KEY = {"Authorization": "Bearer secret-key"}


def with_workspace(version, **changes):
    document = msgspec.json.decode(config(version))
    tenant = {"name": "acme", "apiKeys": ["secret-key"]}
    document["tenants"] = [{**tenant, "ratePerS": RATE, "burst": BURST, **changes}]
    return msgspec.json.encode(document)


@pytest.fixture
def start():
    """Starts gateways, then adds the workspace as one that no request has used."""

    async def start(deployment, count, engines=1):
        for _ in range(engines):
            deployment.add_engine()
        gateways = [await deployment.add_gateway() for _ in range(count)]
        for gateway in gateways:
            gateway.rates.rates._applied_at = -60.0
        deployment.publish(with_workspace(2))
        for gateway in gateways:
            while gateway.config.current.version < 2:
                await deployment.pause(0.02)
        while any(gateway.rates.rates.share < 1 for gateway in gateways):
            await deployment.pause(0.02)
        return gateways

    return start


async def call(deployment, gateway, number, path="/plain/a"):
    return await deployment.call(gateway, "POST", path, b"x", f"r{number}", **KEY)


def test_gateways_together_keep_the_limit_of_a_workspace(play, start):
    async def scenario(deployment):
        gateways = await start(deployment, 3)
        responses = []
        for number in range(12):
            responses.append(await call(deployment, gateways[number % 3], number))
            await deployment.pause(0.1)  # longer than a heartbeat takes
        return responses, len(deployment.engines[0].requests)

    responses, requests = play(scenario)
    statuses = [resp.status for resp in responses]
    assert statuses[:BURST] == [200] * BURST
    assert set(statuses) == {200, 429}
    assert requests == statuses.count(200)
    after_s = [
        float(resp.headers.text(b"retry-after"))
        for resp in responses
        if resp.status > 200
    ]
    assert all(0 < wait_s <= 4 / RATE for wait_s in after_s)


def test_requests_that_no_engine_ran_do_not_use_up_the_rate(play, start):
    async def scenario(deployment):
        (gateway,) = await start(deployment, 1, engines=0)
        refused = [await call(deployment, gateway, n) for n in range(2 * BURST)]
        deployment.add_engine()
        await deployment.pause(0.3)
        return refused, [await call(deployment, gateway, n) for n in range(BURST)]

    refused, served = play(scenario)
    assert {resp.status for resp in refused} == {503}
    assert [resp.status for resp in served] == [200] * BURST


def test_refusal_for_the_rate_is_logged_with_what_decided_it(play, start):
    lines = []

    async def scenario(deployment):
        (gateway,) = await start(deployment, 1)
        return [await call(deployment, gateway, n) for n in range(BURST + 1)]

    handler = logger.add(lines.append, format="{message}")
    try:
        assert play(scenario)[-1].status == 429
    finally:
        logger.remove(handler)
    (line,) = [line for line in lines if "event=rate_limited" in line]
    for field in ("id=r6", "workspace=acme", "balance=", "rate=0.5", "heard=1"):
        assert field in line
    assert not any("secret-key" in line for line in lines)


def test_metrics_name_workspaces_up_to_a_bound(play, start, monkeypatch):
    async def scenario(deployment):
        (gateway,) = await start(deployment, 1)
        for number in range(BURST + 2):
            await call(deployment, gateway, number)
        named = gateway._metrics.render(gateway).decode()
        monkeypatch.setattr("pomeloshift.gateway._rate_metrics.MAX_WORKSPACES", 0)
        return named, gateway._metrics.render(gateway).decode()

    named, bounded = play(scenario)
    total = "pomeloshift_gateway_workspace_requests_total{"
    ours = [line for line in named.splitlines() if line.startswith(total)]
    assert any('"acme"' in line and "refused" in line for line in ours)
    assert any('"acme"' in line and "taken" in line and " 6" in line for line in ours)
    others = [line for line in bounded.splitlines() if line.startswith(total)]
    assert any('"other"' in line and "refused" in line for line in others)


def test_gateway_that_was_paused_spends_its_share_until_it_hears_others():
    now, heard = [10.0], [(4, 4)]
    rates = WorkspaceRates(
        SimpleNamespace(
            rate_window_s=5.0, rate_overrun=0.1, rate_slack=20.0, is_first_start=True
        ),
        SimpleNamespace(count_heard=lambda within_s: heard[0]),
        SimpleNamespace(is_synced=True),
        SimpleNamespace(),
        None,
        SimpleNamespace(monotonic=lambda: now[0]),
    )
    workspace = Workspace("acme", rate_per_s=0.5, burst=8.0)
    rates.apply_config(SimpleNamespace(workspaces=[workspace]))
    assert rates.check(workspace, 10.0).share == 1.0
    heard[0] = (1, 4)
    assert rates.check(workspace, 10.5).share == 1.0  # its heartbeats are read first
    assert rates.check(workspace, 10.6).share == 0.25
    heard[0] = (4, 4)
    assert rates.check(workspace, 10.7).share == 1.0
    heard[0] = (1, 4)
    assert rates.check(workspace, 13.0).share == 0.25
