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
RESPONSE_TIMEOUT_S = 60.0
RELAY_HOST = "127.0.0.2"


def chat(number, **overrides):
    message = {"role": "user", "content": f"which tension for seam {number}"}
    body = {"model": "vezi-lm", "messages": [message], "max_tokens": TOKENS}
    return body | {"ignore_eos": True} | overrides


class Stream:
    """A streamed request whose response is read in a thread."""

    def __init__(self, fleet, number, entry="entry-1"):
        self.body = chat(number, stream=True)
        self.text = ""
        self.is_complete = False
        self.failure = None
        self.started = threading.Event()
        self._url = f"http://{fleet.addresses[entry]}/v1/chat/completions"
        self._key = fleet.caller_key
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def check_complete(self):
        self._thread.join(RESPONSE_TIMEOUT_S)
        assert self.failure is None
        assert self.is_complete, self.text
        assert self.text == expected_answer(self.body)

    def _run(self):
        try:
            self._read()
        except Exception as exc:
            self.failure = exc
        finally:
            self.started.set()

    def _read(self):
        request = urllib.request.Request(self._url, json.dumps(self.body).encode())
        request.add_header("authorization", f"Bearer {self._key}")
        with urllib.request.urlopen(request, timeout=RESPONSE_TIMEOUT_S) as response:
            for line in response:
                self._handle_event(line.strip().removeprefix(b"data: "))

    def _handle_event(self, data):
        if data == b"[DONE]":
            self.is_complete = True
        elif data:
            event = json.loads(data)
            assert "error" not in event, event
            for choice in event["choices"]:
                self.text += choice["delta"].get("content", "")
            if self.text:
                self.started.set()


@pytest.fixture
def backend_servers(fleet):
    """Starts an entry and two backend servers.

    Maps the name of each backend server to its sidecar's and engine's programs.
    """
    fleet.start_entry()
    programs = {}
    for name in ("vezi-lm-1", "vezi-lm-2"):
        engine = fleet.start_engine(f"engine-{name}", step_base_s=STEP_S, load_lag_s=0)
        programs[name] = (fleet.start_sidecar(name, f"engine-{name}"), engine)
    fleet.publish()
    fleet.wait_for_servers(*programs)
    return programs


def running_requests(fleet, name):
    url = f"http://{fleet.addresses[f'engine-{name}']}/control/load"
    with urllib.request.urlopen(url, timeout=RESPONSE_TIMEOUT_S) as response:
        return json.loads(response.read())["running"]


def busy_server(fleet, backend_servers):
    """Returns the name of the backend server that runs the only request."""
    found = []

    def is_running():
        found[:] = [name for name in backend_servers if running_requests(fleet, name)]
        return bool(found)

    fleet.wait_until(is_running)
    return found[0]


def test_response_resumes_on_another_server_after_kill_9(fleet, backend_servers):
    stream = Stream(fleet, 1)
    assert stream.started.wait(RESPONSE_TIMEOUT_S)
    sidecar, engine = backend_servers[busy_server(fleet, backend_servers)]
    sidecar.signal(signal.SIGKILL)
    engine.signal(signal.SIGKILL)
    stream.check_complete()


def test_answer_goes_on_elsewhere_while_a_sidecar_is_stopped(fleet, backend_servers):
    stream = Stream(fleet, 2)
    assert stream.started.wait(RESPONSE_TIMEOUT_S)
    sidecar, _ = backend_servers[busy_server(fleet, backend_servers)]
    sidecar.signal(signal.SIGSTOP)
    stream.check_complete()
    sidecar.signal(signal.SIGCONT)
    again = Stream(fleet, 3)
    again.check_complete()
    assert sidecar.process.poll() is None


def test_response_survives_a_connection_that_stalls(fleet):
    fleet.start_entry()
    fleet.start_engine("engine-1", step_base_s=STEP_S)
    fleet.start_sidecar("vezi-lm-1", "engine-1", advertised_host=RELAY_HOST)
    relay = Relay(fleet.addresses["vezi-lm-1"], "127.0.0.1")
    try:
        fleet.publish()
        fleet.wait_for_servers("vezi-lm-1")
        stream = Stream(fleet, 4)
        assert stream.started.wait(RESPONSE_TIMEOUT_S)
        stalled_connections = relay.stall()
        stream.check_complete()
    finally:
        relay.close()
    assert stalled_connections > 0
    assert relay.dropped_bytes > 0


def test_planned_stop_of_a_sidecar_interrupts_no_request(fleet, backend_servers):
    streams = [Stream(fleet, number) for number in range(10, 18)]
    for stream in streams:
        assert stream.started.wait(RESPONSE_TIMEOUT_S)
    sidecar, _ = backend_servers["vezi-lm-1"]
    code = sidecar.stop()
    for stream in streams:
        stream.check_complete()
    assert code == 0
    assert running_requests(fleet, "vezi-lm-1") == 0


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
def test_job_completes_once_when_its_entry_fails(fleet, backend_servers, number):
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
    with urllib.request.urlopen(request, timeout=RESPONSE_TIMEOUT_S) as response:
        assert response.status == 200
