import re
from random import Random

import msgspec
import pytest
from twisted.internet.defer import ensureDeferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Protocol
from twisted.web.resource import Resource

from pomeloshift.errors import Ran
from pomeloshift.net import SystemClock
from pomeloshift.net._serve import serve
from pomeloshift.sidecar._engine_client import EngineClient
from pomeloshift.sidecar._engine_errors import (
    EngineFencedError,
    EngineLostError,
    EngineRefusedError,
)
from pomeloshift.standins.engine import EngineServer, EngineSettings, expected_answer

CHAT = "/v1/chat/completions"


@pytest.fixture
def start(reactor, run_async):
    opened = []

    def build(**settings):
        cfg = EngineSettings(**settings)
        server = EngineServer(cfg, reactor, SystemClock(), Random(1))
        listener = serve(reactor, server.resource, "127.0.0.1")
        client = EngineClient(f"http://{listener.address}", reactor)
        opened.append((server, listener, client))
        return server, client

    yield build
    for server, listener, client in opened:
        server.stop()
        run_async(client.close())
        run_async(listener.stop())


class Received:
    def __init__(self):
        self.payload = b""
        self.tokens = 0

    def __call__(self, payload, tokens):
        self.payload += payload
        self.tokens += tokens

    @property
    def text(self):
        return "".join(re.findall(r'"content":"([^"]*)"', self.payload.decode()))


def chat(prompt="set the stitch length", **fields):
    messages = [{"role": "user", "content": prompt}]
    fields = {"model": "vezi-lm", "messages": messages, "stream": True, **fields}
    return msgspec.json.encode(fields)


def test_stream_is_complete_and_has_the_expected_text(run_async, start):
    _, client = start()
    body, got = chat(stream_options={"include_usage": True}), Received()
    end = run_async(client.run("a", CHAT, body, got))
    assert (end.status, end.whole) == (200, True)
    assert got.text == expected_answer(body)
    assert got.tokens == len(got.text.split())
    assert got.payload.endswith(b"data: [DONE]\n\n")
    assert f'"completion_tokens":{got.tokens}'.encode() in got.payload


def test_non_streamed_response_is_complete(run_async, start):
    _, client = start()
    body, got = chat(stream=False), Received()
    end = run_async(client.run("a", CHAT, body, got))
    response = msgspec.json.decode(got.payload)
    assert end.whole
    assert response["choices"][0]["message"]["content"] == expected_answer(body)
    assert response["usage"]["prompt_tokens"] == 4


def test_cancelled_stream_resumes_without_repeating(run_async, start, pause):
    _, client = start()
    body, got = chat(max_tokens=60, ignore_eos=True), Received()

    async def cancel_midway():
        running = client.run("a", CHAT, body, got)
        running = ensureDeferred(running)
        while not got.tokens:
            await pause(0.005)
        token = await client.cancel("a")
        return token, await running

    token, end = run_async(cancel_midway())
    assert not end.whole
    assert 0 < got.tokens < 60
    end = run_async(client.run("a", CHAT, body, got, token))
    assert end.whole
    assert got.text == expected_answer(body)
    assert got.tokens == 60


def test_unreadable_resume_token_is_rejected(run_async, start, pause):
    _, client = start()
    token = run_async(client.cancel("unknown"))
    assert token == b""
    with pytest.raises(EngineRefusedError) as refused:
        run_async(client.run("a", CHAT, chat(), Received(), b"bm9uc2Vuc2U="))
    assert (refused.value.status, refused.value.ran) == (400, Ran.NO)


def test_unknown_model_is_rejected_as_not_run(run_async, start):
    _, client = start()
    with pytest.raises(EngineRefusedError) as refused:
        run_async(client.run("a", CHAT, chat(model="other"), Received()))
    assert (refused.value.status, refused.value.ran) == (404, Ran.NO)


def test_crash_interrupts_streams_until_the_engine_restarts(run_async, start, pause):
    server, client = start(restart_s=0.05)
    body = chat("please CRASH-ENGINE now")
    with pytest.raises(EngineLostError) as lost:
        run_async(client.run("a", CHAT, body, Received()))
    assert lost.value.ran is not Ran.NO
    assert not run_async(client.is_alive())

    async def wait_until_alive():
        while not await client.is_alive():
            await pause(0.02)

    run_async(wait_until_alive())
    got = Received()
    assert run_async(client.run("b", CHAT, chat(), got)).whole


def test_unreachable_engine_is_reported_as_not_run(run_async, reactor):
    listener = serve(reactor, Resource(), "127.0.0.1")
    run_async(listener.stop())
    client = EngineClient(f"http://{listener.address}", reactor)
    with pytest.raises(EngineRefusedError) as refused:
        run_async(client.run("a", CHAT, chat(), Received()))
    assert refused.value.ran is Ran.NO


@pytest.mark.parametrize("checks", [True, False])
def test_outdated_fencing_token_is_rejected_only_if_checked(run_async, start, checks):
    _, client = start(checks_fencing=checks, order_s=0.0)
    serves = run_async(client.order("load_model", "new-lm", 7))
    assert serves.models == ("vezi-lm", "new-lm")
    if checks:
        with pytest.raises(EngineFencedError):
            run_async(client.order("unload_model", "vezi-lm", 6))
    else:
        run_async(client.order("unload_model", "vezi-lm", 6))
    assert ("vezi-lm" in run_async(client.serves()).models) is checks


def test_engine_on_standby_rejects_streams(run_async, start):
    _, client = start(order_s=0.0)
    assert run_async(client.order("change_role", "standby", 1)).role == "standby"
    with pytest.raises(EngineRefusedError) as refused:
        run_async(client.run("a", CHAT, chat(), Received()))
    assert refused.value.status == 503


def test_stream_is_cancelled_when_its_caller_disconnects(
    reactor, run_async, start, pause
):
    server, client = start()
    body = chat(max_tokens=5000, ignore_eos=True)
    head = (
        f"POST {CHAT} HTTP/1.1\r\nHost: engine\r\nContent-Length: {len(body)}\r\n\r\n"
    )

    async def disconnect():
        port = int(client._base_url.rpartition(":")[2])
        endpoint = TCP4ClientEndpoint(reactor, "127.0.0.1", port)
        caller = await connectProtocol(endpoint, Protocol())
        caller.transport.write(head.encode() + body)
        while not server.model.decoding:
            await pause(0.005)
        caller.transport.abortConnection()
        while server.model.stream_ids:
            await pause(0.005)

    run_async(disconnect())
