import json
from random import Random

import openai
import pytest
from twisted.internet.defer import Deferred

from _jobs import ENDPOINT, ScriptedSidecar, entry, job_service, jsonl
from pomeloshift.config import ApiKeyConfig, Configuration, ServiceConfig
from pomeloshift.entry._auth import Authenticator, digest_key
from pomeloshift.entry.batch import FilesAndBatches
from pomeloshift.net import SystemClock
from pomeloshift.net._serve import serve
from pomeloshift.standins.log import LogModel, LogSettings, MemoryLog

SECRET = "0123456789abcdef"
CONFIG = Configuration(
    "test",
    services=(ServiceConfig("lm"),),
    api_keys=(ApiKeyConfig("k1", "w", "salt", digest_key("salt", SECRET)),),
)


@pytest.fixture
def service(reactor, run_async):
    model = LogModel(LogSettings(appends_per_s=2000, burst=500), Random(1))
    log = MemoryLog(model, SystemClock().monotonic)
    service = job_service("e1", log, reactor, [entry("e1")], cfg=CONFIG)
    service.start()
    yield service
    run_async(service.stop())


@pytest.fixture
def base_url(reactor, run_async, service):
    api = FilesAndBatches(service, Authenticator(lambda: CONFIG))
    listener = serve(reactor, api.resource, "127.0.0.1")
    yield f"http://{listener.address}/v1"
    run_async(listener.stop())


@pytest.fixture
def client(base_url):
    with openai.OpenAI(
        api_key=f"k1.{SECRET}", base_url=base_url, max_retries=0, timeout=20
    ) as client:
        yield client


def upload(client, data):
    return client.files.create(file=("items.jsonl", data), purpose="batch")


def create(client, file, **kwargs):
    return client.batches.create(
        input_file_id=file.id,
        endpoint=ENDPOINT,
        completion_window="24h",
        **kwargs,
    )


async def run_items(service, count):
    sidecar = ScriptedSidecar()
    while len(sidecar.ran) < count:
        await sidecar.run(service)


def test_openai_client_drives_files_and_batches(
    client, service, run_blocking, run_async
):
    def submit():
        file = upload(client, jsonl(7))
        assert (file.filename, file.purpose) == ("items.jsonl", "batch")
        assert file.bytes == len(jsonl(7))
        assert client.files.retrieve(file.id) == file
        assert [each.id for each in client.files.list()] == [file.id]
        assert client.files.content(file.id).read() == jsonl(7)
        batch = create(client, file, metadata={"shift": "night"})
        assert batch.status == "in_progress"
        assert batch.metadata == {"shift": "night"}
        assert batch.request_counts.total == 7
        return batch

    batch = run_blocking(submit)
    run_async(run_items(service, 7))

    def read():
        done = client.batches.retrieve(batch.id)
        assert done.status == "completed"
        assert done.request_counts.completed == 7
        assert done.error_file_id is None
        text = client.files.content(done.output_file_id).text
        results = [json.loads(line) for line in text.splitlines()]
        assert {line["custom_id"] for line in results} == {f"c{n}" for n in range(7)}
        assert all(line["response"]["status_code"] == 200 for line in results)
        assert [each.id for each in client.batches.list(limit=1)] == [batch.id]

    run_blocking(read)


def test_openai_client_cancels_and_deletes(client, run_blocking):
    def calls():
        file = upload(client, jsonl(3))
        batch = create(client, file)
        assert client.batches.cancel(batch.id).status == "cancelled"
        assert client.files.delete(file.id).deleted
        with pytest.raises(openai.NotFoundError) as caught:
            client.files.retrieve(file.id)
        assert caught.value.code == "not_found"
        assert caught.value.body["ran"] == "no"

    run_blocking(calls)


def test_openai_client_pages_through_lists(client, run_blocking):
    def calls():
        file = upload(client, jsonl(1))
        made = {
            create(client, file, extra_headers={"Idempotency-Key": str(number)}).id
            for number in range(5)
        }
        assert len(made) == 5
        assert {each.id for each in client.batches.list(limit=2)} == made

    run_blocking(calls)


def test_key_used_for_another_request_is_a_conflict(client, run_blocking):
    def calls():
        file = upload(client, jsonl(1))
        headers = {"Idempotency-Key": "k"}
        first = create(client, file, extra_headers=headers)
        assert create(client, file, extra_headers=headers).id == first.id
        with pytest.raises(openai.ConflictError) as caught:
            create(client, file, extra_headers=headers, metadata={"a": "b"})
        assert caught.value.code == "idempotency_conflict"

    run_blocking(calls)


def test_bad_requests_get_typed_errors(client, base_url, run_blocking):
    def calls():
        with pytest.raises(openai.BadRequestError) as caught:
            upload(client, jsonl(2) + b"{oops}\n")
        assert caught.value.code == "invalid_jsonl"
        assert caught.value.body["message"].startswith("line 3: ")
        with pytest.raises(openai.BadRequestError) as caught:
            client.post("/files", body={"no": "form"}, cast_to=object)
        assert caught.value.code == "invalid_request"
        with pytest.raises(openai.BadRequestError):
            client.post("/batches", body={"endpoint": 5}, cast_to=object)
        with pytest.raises(openai.NotFoundError):
            client.batches.retrieve("batch_nonsense")
        with pytest.raises(openai.NotFoundError):
            client.files.content("file-000-000-output")
        with pytest.raises(openai.BadRequestError):
            client.get("/batches?limit=none", cast_to=object)
        with openai.OpenAI(
            api_key="k1.wrong", base_url=base_url, max_retries=0
        ) as other:
            with pytest.raises(openai.AuthenticationError):
                other.batches.list()

    run_blocking(calls)


def test_writer_waits_for_a_slow_caller_and_fails_when_it_disconnects(
    service, run_async
):
    from pomeloshift.entry.batch._response_writer import (
        CallerDisconnectedError,
        ResponseWriter,
    )

    class Caller:
        def __init__(self):
            self.written = []

        def setHeader(self, name, value):
            pass

        def registerProducer(self, producer, streaming):
            producer.pauseProducing()

        def write(self, data):
            self.written.append(data)

    caller = Caller()
    writer = ResponseWriter(caller)
    first = Deferred.fromCoroutine(writer.write(b"one"))
    assert caller.written == [b"one"]
    assert not first.called
    writer.resumeProducing()
    assert first.called
    writer.pauseProducing()
    second = Deferred.fromCoroutine(writer.write(b"two"))
    failed = []
    second.addErrback(lambda failure: failed.append(failure.type))
    writer.stopProducing()
    assert failed == [CallerDisconnectedError]
