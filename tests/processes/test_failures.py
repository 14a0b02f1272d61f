import io
import json
import signal
import threading
import urllib.request

import openai
import pytest

from pomeloshift.standins.engine import expected_answer

from .relay import Relay

STEP_S = 0.05
TOKENS = 60
ANSWER_LIMIT_S = 60.0
RELAY_HOST = "127.0.0.2"


def chat(number, **more):
    message = {"role": "user", "content": f"which tension for seam {number}"}
    body = {"model": "vezi-lm", "messages": [message], "max_tokens": TOKENS}
    return body | {"ignore_eos": True} | more


class Stream:
    """A streamed request that is read in a thread."""

    def __init__(self, fleet, number, entry="entry-1"):
        self.body = chat(number, stream=True)
        self.text = ""
        self.whole = False
        self.failure = None
        self.began = threading.Event()
        self._url = f"http://{fleet.addresses[entry]}/v1/chat/completions"
        self._key = fleet.caller_key
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def check_whole(self):
        self._thread.join(ANSWER_LIMIT_S)
        assert self.failure is None
        assert self.whole, self.text
        assert self.text == expected_answer(self.body)

    def _run(self):
        try:
            self._read()
        except Exception as exc:
            self.failure = exc
        finally:
            self.began.set()

    def _read(self):
        request = urllib.request.Request(self._url, json.dumps(self.body).encode())
        request.add_header("authorization", f"Bearer {self._key}")
        with urllib.request.urlopen(request, timeout=ANSWER_LIMIT_S) as answer:
            for line in answer:
                self._take(line.strip().removeprefix(b"data: "))

    def _take(self, data):
        if data == b"[DONE]":
            self.whole = True
        elif data:
            event = json.loads(data)
            assert "error" not in event, event
            for choice in event["choices"]:
                self.text += choice["delta"].get("content", "")
            if self.text:
                self.began.set()


@pytest.fixture
def pair(fleet):
    """An entry and two backend servers; maps the names of the latter to programs."""
    fleet.start_entry()
    programs = {}
    for name in ("vezi-lm-1", "vezi-lm-2"):
        engine = fleet.start_engine(f"engine-{name}", step_base_s=STEP_S, load_lag_s=0)
        programs[name] = (fleet.start_sidecar(name, f"engine-{name}"), engine)
    fleet.publish()
    fleet.wait_until(lambda: ready_servers(fleet) == 2)
    return programs


def ready_servers(fleet):
    return sum(
        line.startswith("vezi-lm-") for line in fleet.command("status").split("\n")
    )


def running_at(fleet, name):
    url = f"http://{fleet.addresses[f'engine-{name}']}/control/load"
    with urllib.request.urlopen(url, timeout=ANSWER_LIMIT_S) as answer:
        return json.loads(answer.read())["running"]


def server_of(fleet, pair):
    """Returns the backend server that runs the only request."""
    found = []

    def is_running():
        found[:] = [name for name in pair if running_at(fleet, name)]
        return bool(found)

    fleet.wait_until(is_running)
    return found[0]


def test_answer_goes_on_elsewhere_after_kill_9(fleet, pair):
    stream = Stream(fleet, 1)
    assert stream.began.wait(ANSWER_LIMIT_S)
    sidecar, engine = pair[server_of(fleet, pair)]
    sidecar.signal(signal.SIGKILL)
    engine.signal(signal.SIGKILL)
    stream.check_whole()


def test_answer_goes_on_elsewhere_while_a_sidecar_is_stopped(fleet, pair):
    stream = Stream(fleet, 2)
    assert stream.began.wait(ANSWER_LIMIT_S)
    sidecar, _ = pair[server_of(fleet, pair)]
    sidecar.signal(signal.SIGSTOP)
    stream.check_whole()
    sidecar.signal(signal.SIGCONT)
    again = Stream(fleet, 3)
    again.check_whole()
    assert sidecar.process.poll() is None


def test_answer_survives_a_connection_that_goes_silent(fleet):
    fleet.start_entry()
    fleet.start_engine("engine-1", step_base_s=STEP_S)
    fleet.start_sidecar("vezi-lm-1", "engine-1", advertised_host=RELAY_HOST)
    relay = Relay(fleet.addresses["vezi-lm-1"], "127.0.0.1")
    try:
        fleet.publish()
        fleet.wait_until(lambda: ready_servers(fleet) == 1)
        stream = Stream(fleet, 4)
        assert stream.began.wait(ANSWER_LIMIT_S)
        silenced = relay.silence()
        stream.check_whole()
    finally:
        relay.close()
    assert silenced > 0
    assert relay.dropped > 0


def test_planned_stop_of_a_sidecar_cuts_no_request(fleet, pair):
    streams = [Stream(fleet, number) for number in range(10, 18)]
    for stream in streams:
        assert stream.began.wait(ANSWER_LIMIT_S)
    sidecar, _ = pair["vezi-lm-1"]
    code = sidecar.stop()
    for stream in streams:
        stream.check_whole()
    assert code == 0
    assert running_at(fleet, "vezi-lm-1") == 0


def job_lines(count):
    lines = []
    for number in range(count):
        line = {
            "custom_id": f"item-{number}",
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": chat(number, max_tokens=8),
        }
        lines.append(json.dumps(line))
    return "\n".join(lines).encode()


def client_of(fleet, entry):
    url = f"http://{fleet.addresses[entry]}/v1"
    return openai.OpenAI(base_url=url, api_key=fleet.caller_key, max_retries=4)


def check_job(fleet, client, job_id, count):
    fleet.wait_until(lambda: client.batches.retrieve(job_id).status == "completed")
    job = client.batches.retrieve(job_id)
    assert job.request_counts.completed == count
    text = client.files.content(job.output_file_id).text
    results = [json.loads(line) for line in text.splitlines()]
    assert sorted(r["custom_id"] for r in results) == sorted(
        f"item-{number}" for number in range(count)
    )
    for result in results:
        number = int(result["custom_id"].removeprefix("item-"))
        message = result["response"]["body"]["choices"][0]["message"]
        assert message["content"] == expected_answer(chat(number, max_tokens=8))


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
def test_job_completes_once_when_its_entry_fails(fleet, pair, number):
    fleet.start_entry("entry-2")
    first = fleet.programs[2]
    client = client_of(fleet, "entry-2")
    lines = io.BytesIO(job_lines(60))
    file = client.files.create(file=("lot.jsonl", lines), purpose="batch")
    job = client.batches.create(
        input_file_id=file.id,
        endpoint="/v1/chat/completions",
        completion_window="24h",
    )
    first.signal(number)
    remove_from_list(fleet, "entry-1")
    check_job(fleet, client, job.id, 60)
    if number is signal.SIGSTOP:
        first.signal(signal.SIGCONT)
        check_job(fleet, client, job.id, 60)


def remove_from_list(fleet, name):
    url = f"http://{fleet.addresses['list']}/instances/{name}"
    request = urllib.request.Request(url, method="DELETE")
    with urllib.request.urlopen(request, timeout=ANSWER_LIMIT_S) as answer:
        assert answer.status == 200
