import asyncio
import os
import pathlib
import socket
import subprocess
import sys
import time

import pytest

import pomeloshift
from pomeloshift.errors import ErrorCode, PomeloshiftError, Ran
from pomeloshift.wire import Acknowledgement, ConfigDocument, ConfigPull

KEY = b"k" * 32
# Long enough for a message to arrive over the loopback interface.
ARRIVAL_S = 0.2
# A task that takes longer is considered hung.
HANG_S = 5.0


@pytest.fixture
def control(reactor, run_async):
    """Starts servers and clients and closes them after the test."""
    from pomeloshift.net._control_client import ControlClient
    from pomeloshift.net._control_server import ControlServer

    opened = []

    class Control:
        def serve(self, handler, key=KEY, url="tcp://127.0.0.1:0"):
            server = ControlServer(url, handler, key, reactor)
            server.start()
            opened.append(server.stop)
            return server

        def client(self, key=KEY):
            client = ControlClient(key, reactor)
            opened.append(client.close)
            return client

    yield Control()
    for close in reversed(opened):
        run_async(close())


class NotReadyError(PomeloshiftError):
    code = ErrorCode.NOT_READY
    ran = Ran.NO


async def reply_next_version(message):
    return ConfigDocument(version=message.have_version + 1)


def test_concurrent_requests_get_their_own_replies(control, run_async, pause):
    from twisted.internet.defer import ensureDeferred

    async def slow_for_low_versions(message):
        await pause(0.05 if message.have_version < 5 else 0)
        return ConfigDocument(version=message.have_version + 1)

    server = control.serve(slow_for_low_versions)
    client = control.client()

    async def ask_all():
        pending = [
            ensureDeferred(client.request(server.url, ConfigPull(n), 5.0))
            for n in range(10)
        ]
        return [(await reply).version for reply in pending]

    assert run_async(ask_all()) == list(range(1, 11))


def test_refusal_carries_code_and_ran(control, run_async):
    async def refuse(message):
        raise NotReadyError("no configuration yet", retry_after_s=2.0)

    server = control.serve(refuse)
    with pytest.raises(PomeloshiftError) as caught:
        run_async(control.client().request(server.url, ConfigPull(0), 5.0))
    assert caught.value.code is ErrorCode.NOT_READY
    assert caught.value.ran is Ran.NO
    assert caught.value.retry_after_s == 2.0


def test_message_with_a_wrong_key_is_never_handled(control, run_async):
    handled = []

    async def record(message):
        handled.append(message)
        return Acknowledgement(1)

    server = control.serve(record)
    with pytest.raises(PomeloshiftError) as caught:
        run_async(control.client(b"other").request(server.url, ConfigPull(0), 0.3))
    assert caught.value.ran is Ran.UNKNOWN
    assert handled == []
    run_async(control.client().request(server.url, ConfigPull(0), 5.0))
    assert handled == [ConfigPull(0)]


def test_unreachable_peer_means_not_run(control, run_async):
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        url = f"tcp://127.0.0.1:{bound.getsockname()[1]}"
        with pytest.raises(PomeloshiftError) as caught:
            run_async(control.client().request(url, ConfigPull(0), 0.3))
    assert caught.value.ran is Ran.NO


def test_client_reconnects_after_a_timeout_and_sends_each_message_once(
    control, run_async, pause
):
    from twisted.internet.defer import Deferred

    seen = []

    async def hang_at_first(message):
        seen.append(message.have_version)
        if message.have_version == 0:
            await Deferred()
        return ConfigDocument(version=1)

    server = control.serve(hang_at_first)
    client = control.client()

    async def ask_twice():
        with pytest.raises(PomeloshiftError) as caught:
            await client.request(server.url, ConfigPull(0), 0.2)
        assert caught.value.ran is Ran.UNKNOWN
        reply = await client.request(server.url, ConfigPull(1), 5.0)
        await pause(0.3)
        return reply

    assert run_async(ask_twice()).version == 1
    assert seen == [0, 1]


def test_client_reaches_a_restarted_peer(control, run_async):
    first = control.serve(reply_next_version)
    client = control.client()
    run_async(client.request(first.url, ConfigPull(0), 5.0))
    run_async(first.stop())
    control.serve(reply_next_version, url=first.url)

    async def ask_until_answered():
        for _ in range(20):
            try:
                return await client.request(first.url, ConfigPull(7), 1.0)
            except PomeloshiftError:
                continue
        return None

    assert run_async(ask_until_answered()).version == 8


def test_replays_crossed_replies_and_changed_bytes_are_rejected():
    from pomeloshift.net._control_errors import SignatureError
    from pomeloshift.net._control_signer import ControlSigner, ReplayWindow

    signer = ControlSigner(KEY)
    first, second = signer.make_nonce(), signer.make_nonce()
    data = signer.sign_request(first, b"body")
    assert signer.verify_request(data) == (first, b"body")
    reply = signer.sign_reply(first, b"answer")
    assert signer.verify_reply(first, reply) == b"answer"
    window = ReplayWindow()
    window.accept(first)
    attempts = [
        lambda: window.accept(first),
        lambda: signer.verify_reply(second, reply),
        lambda: signer.verify_request(data[:-1] + b"x"),
        lambda: signer.verify_request(b"short"),
        lambda: ControlSigner(b"other").verify_request(data),
    ]
    for attempt in attempts:
        with pytest.raises(SignatureError):
            attempt()


def test_process_exits_cleanly_without_stopping_its_server():
    script = """
from pomeloshift.net import install_reactor
reactor = install_reactor()
from pomeloshift.net._control_server import ControlServer
server = ControlServer("tcp://127.0.0.1:0", None, b"key", reactor)
server.start()
reactor.callLater(0.05, reactor.stop)
reactor.run()
"""
    source = str(pathlib.Path(pomeloshift.__file__).parent.parent)
    done = subprocess.run(
        [sys.executable, "-c", script],
        capture_output=True,
        env=os.environ | {"PYTHONPATH": source},
    )
    assert done.returncode == 0, done.stderr


def test_server_stops_while_a_message_arrives(control, run_async, reactor):
    """pynng loses a cancellation that arrives when its call has just completed."""
    from pynng import Req0
    from twisted.internet.defer import Deferred

    async def never_reply(message):
        await Deferred()

    server = control.serve(never_reply)
    loop = reactor._asyncioEventloop

    async def stop_while_a_message_waits():
        with Req0(dial=server.url) as peer:
            peer.send(b"not signed")
            # Blocks the event loop: the message arrives but is not processed yet.
            time.sleep(ARRIVAL_S)
            stopping = Deferred.fromCoroutine(server.stop()).asFuture(loop)
            done, _ = await asyncio.wait({stopping}, timeout=HANG_S)
            return bool(done)

    assert loop.run_until_complete(stop_while_a_message_waits())
