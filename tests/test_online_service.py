import msgspec
import openai
import pytest
from twisted.internet.defer import Deferred, gatherResults

from _online_fakes import WORDS, Fleet, refusal
from pomeloshift.errors import ErrorCode

TEXT = "".join(WORDS)


@pytest.fixture
def in_fleet(reactor, run_async):
    """Runs a coroutine function with an entry and its sidecars."""

    def run(check, **settings):
        async def body():
            fleet = Fleet(reactor, **settings)
            try:
                return await check(fleet)
            finally:
                await fleet.stop()

        return run_async(body())

    return run


def text_of(body):
    events = [line[6:] for line in body.splitlines() if line.startswith(b"data: {")]
    chunks = [msgspec.json.decode(each) for each in events]
    return "".join(
        c["choices"][0]["delta"]["content"] for c in chunks if "error" not in c
    )


def error_of(body):
    return msgspec.json.decode(body)["error"]


def test_openai_client_works_streamed_and_not(in_fleet):
    def use_client(url):
        messages = [{"role": "user", "content": "swarm?"}]
        with openai.OpenAI(
            base_url=f"{url}/v1", api_key="k1.secret", max_retries=0
        ) as client:
            create = client.chat.completions.create
            completion = create(model="hive-assist", messages=messages)
            stream = create(model="hive-assist", messages=messages, stream=True)
            chunks = [chunk.choices[0].delta.content for chunk in stream]
            names = [model.id for model in client.models.list()]
            with pytest.raises(openai.NotFoundError) as caught:
                create(model="other", messages=messages)
        return completion, chunks, names, caught.value

    async def check(fleet):
        return await fleet.blocking(use_client, fleet.url)

    completion, chunks, names, missing = in_fleet(check)
    assert completion.choices[0].message.content == TEXT
    assert "".join(chunks) == TEXT
    assert names == ["hive-assist"]
    assert missing.body["code"] == "unknown_model"
    assert missing.body["ran"] == "no"


def test_unresponsive_connection_is_replaced_and_the_attempt_joined(in_fleet):
    async def check(fleet):
        (sidecar,) = fleet.sidecars
        sidecar.hanging_accepts = 1
        first = await fleet.chat()
        sidecar.hang_at_frame = 2
        second = await fleet.chat()
        sidecar.abort_at_frame = 3
        third = await fleet.chat()
        return [body for _, body in (first, second, third)], sidecar

    bodies, sidecar = in_fleet(check, sidecars=1)
    assert [text_of(body) for body in bodies] == [TEXT] * 3
    assert len(sidecar.runs) == 3
    assert len(sidecar.requests) == 6


@pytest.mark.parametrize("stream", [True, False])
@pytest.mark.parametrize("crash_at_frame", [0, 2])
def test_response_completes_after_the_loss_of_its_backend_server(
    in_fleet, stream, crash_at_frame
):
    async def check(fleet):
        for sidecar in fleet.sidecars:
            sidecar.crash_at_frame = crash_at_frame if stream else 0
        task = fleet.chat(stream=stream)
        for sidecar in fleet.sidecars[1:]:
            sidecar.crash_at_frame = None
        fleet.sidecars[0].crash_at_frame = crash_at_frame if stream else 0
        return (await task)[1]

    body = in_fleet(check, sidecars=2)
    if stream:
        assert text_of(body) == TEXT
        assert body.endswith(b"data: [DONE]\n\n")
    else:
        assert msgspec.json.decode(body)["choices"][0]["message"]["content"] == TEXT


def test_streaming_caller_gets_an_error_event_if_no_server_can_resume(in_fleet):
    async def check(fleet):
        (sidecar,) = fleet.sidecars
        sidecar.crash_at_frame = 2
        return await fleet.chat()

    response, body = in_fleet(check, sidecars=1)
    assert response.code == 200
    assert text_of(body) == "".join(WORDS[:2])
    last = msgspec.json.decode(body.rstrip().rsplit(b"data: ", 1)[1])
    assert last["error"]["ran"] == "yes"
    assert b"[DONE]" not in body


def test_rejection_is_retried_elsewhere_then_returned_with_retry_after(in_fleet):
    async def check(fleet):
        first, second = fleet.sidecars
        first.refusal = refusal()
        one = await fleet.chat()
        second.refusal = refusal()
        both = await fleet.chat()
        return one, both

    (_, one), (response, both) = in_fleet(check)
    assert text_of(one) == TEXT
    assert response.code == 503
    assert response.headers.getRawHeaders("retry-after") == ["2"]
    assert error_of(both)["ran"] == "no"


def test_attempt_is_abandoned_when_its_caller_disconnects(in_fleet, pause):
    async def check(fleet):
        (sidecar,) = fleet.sidecars
        sidecar.pause_s = 0.05
        running = fleet.http.request(
            "POST",
            f"{fleet.url}/v1/chat/completions",
            headers={"authorization": "Bearer k1.secret"},
            data=b'{"model":"hive-assist","stream":true,'
            b'"messages":[{"role":"user","content":"x"}]}',
            unbuffered=True,
        )
        response = await running
        response.original._transport.loseConnection()
        while not sidecar.abandoned:
            await pause(0.01)
        return sidecar, fleet

    sidecar, fleet = in_fleet(check, sidecars=1)
    assert sidecar.abandoned == sidecar.runs
    assert fleet.service.open_requests == 0
    assert fleet.finished[0].caller_gone


def test_retried_poison_request_crashes_two_servers_and_other_requests_finish(in_fleet):
    async def check(fleet):
        for sidecar in fleet.sidecars:
            sidecar.poison = b"poison"
        poisoned = [await fleet.chat("poison") for _ in range(3)]
        other = await fleet.chat("hello")
        return poisoned, other, fleet

    poisoned, (_, body), fleet = in_fleet(check, sidecars=5)
    codes = [error_of(body)["code"] for _, body in poisoned]
    assert codes == ["backend_server_lost", "quarantined", "quarantined"]
    assert [response.code for response, _ in poisoned] == [502, 422, 422]
    assert sum(len(s.runs) for s in fleet.sidecars) == 3
    assert text_of(body) == TEXT


def test_call_to_a_service_without_backend_servers_fails_as_not_run(in_fleet):
    async def check(fleet):
        for sidecar in fleet.sidecars:
            sidecar.hanging_accepts = 9
        return await fleet.post("/v1/services/notes/send?to=1", b"note"), fleet

    (response, body), fleet = in_fleet(check)
    assert error_of(body)["ran"] == "no"


@pytest.mark.parametrize(
    ("body", "code"),
    [
        (b"{", "invalid_request"),
        (b"[]", "invalid_request"),
        (b"\xff\xfe", "invalid_request"),
        (b'{"model":"hive-assist"}', "invalid_request"),
        (b'{"model":"hive-assist","messages":[1]}', "invalid_request"),
        (b'{"model":7,"messages":[{}]}', "invalid_request"),
        (b'{"model":"x","messages":[{"content":"a"}]}', "unknown_model"),
        (
            b'{"model":"hive-assist","max_tokens":0,"messages":[{"content":"a"}]}',
            "invalid_request",
        ),
        (b"[" * 100_000, "invalid_request"),
    ],
)
def test_bad_bodies_get_typed_errors(in_fleet, body, code):
    async def check(fleet):
        return await fleet.post("/v1/chat/completions", body)

    response, content = in_fleet(check, sidecars=1)
    assert 400 <= response.code < 500
    error = error_of(content)
    assert (error["code"], error["ran"]) == (code, "no")


def test_bad_key_and_unknown_service_are_refused(in_fleet):
    async def check(fleet):
        bad = await fleet.chat(key="k1.wrong")
        unknown = await fleet.post("/v1/services/none/x", b"", method="GET")
        return bad, unknown

    (bad, _), (unknown, body) = in_fleet(check, sidecars=1)
    assert (bad.code, unknown.code) == (401, 404)
    assert error_of(body)["code"] == ErrorCode.UNKNOWN_SERVICE.value


def test_entries_of_a_region_share_the_limits_of_a_workspace(in_fleet):
    async def check(fleet):
        fleet.list_entries(10)
        for sidecar in fleet.sidecars:
            sidecar.pause_s = 0.05
        responses = await gatherResults(
            [Deferred.fromCoroutine(fleet.chat(f"query {n}")) for n in range(5)]
        )
        return sorted(response.code for response, _ in responses)

    assert in_fleet(check) == [200, 200, 200, 429, 429]
