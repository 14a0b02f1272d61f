import os
import queue
import signal
import socket
import subprocess
import sys
import threading
from contextlib import ExitStack
from pathlib import Path

import pytest
from twisted.internet.defer import Deferred

from _gateway import ROUTES, Deployment, config, events, route, text, workspace
from pomeloshift.cli._explain import explain_id
from pomeloshift.standins.platform import Behaviour

SOURCE = Path(__file__).parents[2] / "src"
EXIT_LIMIT_S = 60.0
TOML = """
nodeName = "{ip}"
ip = "{ip}"
zone = "a"
region = "r"
internalPorts = [{peer}, {peer}]
[zones]
a = "r"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[bounds]
graceS = 8
{bounds}
[platform]
address = "{store}"
writesPerS = 4000
readsPerS = 4000
recordBytes = 4096
callBytes = 65536
"""


def free_ports(ip, count):
    """Ports that the operating system chose and that are free now."""
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in sockets:
            sock.bind((ip, 0))
        return [sock.getsockname()[1] for sock in sockets]


class GatewayProcess:
    """A gateway in its own process, with the attributes that `Deployment` uses."""

    def __init__(self, folder, store, ip, bounds=""):
        front, ready, peer = free_ports(ip, 3)
        self.caller_address = f"{ip}:{front}"
        self.ready_address = f"{ip}:{ready}"
        self.log = folder / f"{ip}.log"
        self._settings = folder / f"{ip}.toml"
        self._settings.write_text(
            TOML.format(
                ip=ip, front=front, ready=ready, peer=peer, store=store, bounds=bounds
            )
        )
        self.lines = queue.Queue()
        self.start()

    def start(self):
        env = {
            **os.environ,
            "PYTHONPATH": str(SOURCE),
            "POMELOSHIFT_CONFIG": str(self._settings),
        }
        self.process = subprocess.Popen(
            [sys.executable, "-m", "pomeloshift", "gateway"],
            stdout=subprocess.PIPE,
            text=True,
            env=env,
        )
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    def _read(self):
        with self.log.open("a") as log:
            for line in self.process.stdout:
                log.write(line)
                log.flush()
        self.process.stdout.close()

    def signal(self, number):
        self.process.send_signal(number)

    def wait(self):
        code = self.process.wait(EXIT_LIMIT_S)
        self._reader.join()
        return code

    def kill(self):
        if self.process.poll() is None:
            self.process.kill()
        self.wait()


@pytest.fixture
def play_processes(reactor, run_async, tmp_path):
    """Runs a scenario with a deployment and a function that starts gateways."""

    def play(scenario):
        started = []

        async def run():
            deployment = Deployment(reactor)

            async def add(bounds=""):
                # Addresses that no gateway within a test process uses.
                ip = f"127.0.1.{len(started) + 1}"
                process = GatewayProcess(tmp_path, deployment.store_address, ip, bounds)
                started.append(process)
                await until_ready(deployment, process)
                return process

            try:
                return await scenario(deployment, add)
            finally:
                for process in started:
                    process.kill()
                await deployment.stop()

        return run_async(run())

    return play


async def until_ready(deployment, process):
    from pomeloshift.errors import PomeloshiftError

    while True:
        assert process.process.poll() is None, process.log.read_text()
        try:
            await deployment.until_ready(process)
            return
        except PomeloshiftError:
            await deployment.pause(0.05)


async def until_exit(deployment, process):
    while process.process.poll() is None:
        await deployment.pause(0.05)
    return process.wait()


def test_requests_jobs_and_shutdown(play_processes):
    async def scenario(deployment, add):
        deployment.add_engine()
        first, second = await add(), await add()
        stream = await deployment.call(first, "POST", "/once/a", b"x", "id1")
        accepted = await deployment.submit(first, "job1", [b"a", b"b"])
        rows = await deployment.results(second, "job1", 2)
        second.signal(signal.SIGHUP)
        again = await deployment.call(second, "POST", "/once/a", b"x", "id2")
        second.signal(signal.SIGTERM)
        code = await until_exit(deployment, second)
        return stream.body, accepted.status, rows, again.status, code, second.log

    stream, accepted, rows, again, code, log = play_processes(scenario)
    assert stream == events(1, 4)
    assert (accepted, again, code) == (202, 200, 0)
    assert {row["text"] for row in rows} == {text(4)}
    lines = log.read_text()
    for event in ("started", "config_applied", "reloaded", "draining", "stopped"):
        assert f"event={event} " in lines


def test_jobs_survive_the_loss_of_all_gateways(play_processes):
    async def scenario(deployment, add):
        engine = deployment.add_engine()
        engine.behaviour = Behaviour(events=400, event_gap_s=0.01)
        gateways = [await add(), await add()]
        accepted = await deployment.submit(gateways[0], "job1", [b"a", b"b", b"c"])
        while engine.running == 0:
            await deployment.pause(0.02)
        for gateway in gateways:
            gateway.kill()
        engine.behaviour = Behaviour()
        for gateway in gateways:
            gateway.start()
            await until_ready(deployment, gateway)
        rows = [await deployment.results(gateway, "job1", 3) for gateway in gateways]
        return accepted.status, rows

    accepted, (rows, others) = play_processes(scenario)
    assert accepted == 202
    assert rows == others
    assert sorted(row["id"] for row in rows) == ["item0", "item1", "item2"]
    assert {row["text"] for row in rows} == {text(4)}


REVOKE_S = 1.0
STRICT = f"strictRevoke = true\nrevokeMs = {REVOKE_S * 1000:.0f}"


def test_gateway_frozen_past_its_lease_runs_no_request_with_a_key(play_processes):
    """Guards against a woken process that serves a key that was revoked meanwhile."""

    async def scenario(deployment, add):
        engine = deployment.add_engine()
        tenants = [workspace("north", "key1", "key2"), workspace("south", "key3")]
        routes = [route(name) for name in ROUTES]
        deployment.publish(config(2, routes, tenants=tenants))
        gateway = await add(STRICT)

        def call(key, request_id):
            return deployment.call(
                gateway,
                "POST",
                "/plain/a",
                request_id=request_id,
                Authorization=f"Bearer {key}",
            )

        before = await call("key1", "before")
        gateway.signal(signal.SIGSTOP)
        tenants[0] = workspace("north", "key2")
        deployment.publish(config(3, routes, tenants=tenants))
        await deployment.pause(2 * REVOKE_S)
        # Both lie in the socket when the process wakes.
        late = [
            Deferred.fromCoroutine(call(key, f"late-{key}")) for key in ("key1", "key2")
        ]
        await deployment.pause(0.1)
        gateway.signal(signal.SIGCONT)
        first = [(await one).status for one in late]
        await until_ready(deployment, gateway)
        renewed = [(await call(key, f"again-{key}")).status for key in ("key1", "key2")]
        return before.status, first, renewed, [one.id for one in engine.requests]

    before, first, renewed, ran = play_processes(scenario)
    assert before == 200
    assert first == [503, 503]
    assert renewed == [401, 200]
    assert ran == ["before", "again-key2"]


def test_failures_are_explained_by_their_ids(play_processes, capsys):
    """Follows the three examples of docs/OPERATIONS.md."""

    async def scenario(deployment, add):
        engine = deployment.add_engine()
        gateway = await add()
        engine.behaviour = Behaviour(events=6, reset_after_events=3)
        with pytest.raises(Exception, match="reset|closed"):
            await deployment.call(gateway, "POST", "/once/a", request_id="cut1")
        engine.behaviour = Behaviour(is_full=True)
        refused = await deployment.call(gateway, "POST", "/once/a", request_id="full1")
        engine.behaviour = Behaviour(status=422)
        await deployment.submit(gateway, "job1", [b"a"])
        rows = await deployment.results(gateway, "job1", 1)
        gateway.signal(signal.SIGTERM)
        await until_exit(deployment, gateway)
        return refused.status, rows[0]["state"], gateway.log

    status, state, log = play_processes(scenario)
    assert (status, state) == (503, "dead_letter")

    def explained(wanted):
        assert explain_id(wanted, (str(log),)) == 0
        return capsys.readouterr().out.splitlines()

    cut = explained("cut1")
    assert "decisive" in cut[0] and "event=request_failed" in cut[0]
    assert "is_started=True" in cut[0]
    assert any("event=engine_failed" in line and "why=reset" in line for line in cut)
    full = explained("full1")
    assert "event=request_failed" in full[0] and "status=503 runs=0" in full[0]
    assert any("event=attempt_refused" in line for line in full)
    dead = explained("item0")
    assert "event=item_settled" in dead[0] and "is_done=False" in dead[0]
    assert any("event=item_run" in line and "status=422" in line for line in dead)
    assert any("event=job_accepted" in line for line in dead)
    assert explain_id("nobody", (str(log),)) == 1


def test_invalid_settings_end_the_start(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text('ip = "127.0.0.1"\n')
    done = subprocess.run(
        [sys.executable, "-m", "pomeloshift", "gateway", "--settings", str(path)],
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONPATH": str(SOURCE)},
    )
    assert done.returncode == 1
    assert "listen.front: is missing [missing_key]" in done.stderr


def test_metrics_are_served(play):
    async def scenario(deployment):
        deployment.add_engine()
        gateway = await deployment.add_gateway()
        await deployment.call(gateway, "POST", "/once/a")
        gateway.caller_address = gateway.metrics_address
        return await deployment.call(gateway, "GET", "/metrics")

    text = play(scenario).body.decode()
    assert 'pomeloshift_gateway_answers_total{instance="edge-127.0.0.1"' in text
    assert (
        'pomeloshift_gateway_engines{instance="edge-127.0.0.1",state="serving"} 1'
        in text
    )
