import json
import os
import queue
import signal
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request
from pathlib import Path

from pomeloshift.config import make_api_key, make_operator_key
from pomeloshift.questionnaire import example_text

SOURCE = Path(__file__).parents[2] / "src"
KEY = "0123456789abcdef0123456789abcdef"
SALT = "0123456789abcdef"
TIMEOUT_S = 60.0
PLACE = {"region": "gorenjska", "availability_zone": "kranj-a"}


class Program:
    """One process of the system; a thread collects its log lines in ``lines``."""

    def __init__(self, arguments, settings, folder):
        path = folder / f"{arguments[-1]}-{settings['name']}.jsonc"
        settings = dict(settings)
        if arguments[0] == "standin" and arguments[-1] != "engine":
            del settings["name"]
        path.write_text("// settings of a test\n" + json.dumps(settings))
        command = [sys.executable, "-m", "pomeloshift", *arguments]
        env = {**os.environ, "PYTHONPATH": str(SOURCE)}
        self.process = subprocess.Popen(
            [*command, "--settings", str(path)],
            stderr=subprocess.PIPE,
            stdout=subprocess.DEVNULL,
            text=True,
            env=env,
        )
        self.lines = []
        self._queue = queue.Queue()
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    def _read(self):
        for line in self.process.stderr:
            self.lines.append(line)
            self._queue.put(line)
        self.process.stderr.close()

    def wait_for(self, event):
        """Returns the fields of the next log line with an event, as strings."""
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                line = self._queue.get(timeout=0.2)
            except queue.Empty:
                assert self.process.poll() is None, "".join(self.lines)
                continue
            fields = dict(part.split("=", 1) for part in line.split() if "=" in part)
            if fields.get("event") == event:
                return fields
        raise AssertionError(f"no {event} in:\n" + "".join(self.lines))

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        """Sends SIGTERM, waits for the process and returns its exit code."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        return self.wait()

    def wait(self):
        code = self.process.wait(TIMEOUT_S)
        self._reader.join()
        return code

    def kill(self):
        if self.process.poll() is None:
            self.process.kill()
        return self.wait()


class ProcessFleet:
    """Runs entries, sidecars and stand-ins as separate processes."""

    def __init__(self, folder):
        self.folder = folder
        self.programs = []
        self.addresses = {}
        self.caller_key = "caller.secret"
        self.operator_token = "op.secret"

    def start_platform(self):
        for kind in ("log", "list"):
            program = self._start(["standin", kind], {"name": kind, "port": 0})
            self.addresses[kind] = program.wait_for("standin_started")["address"]

    def start_entry(self, name="entry-1", **overrides):
        settings = {
            "name": name,
            "place": PLACE,
            "log_url": f"http://{self.addresses['log']}",
            "list_url": f"http://{self.addresses['list']}",
            "internal_key": KEY,
            "port": 0,
            "control_port": 0,
            "partitions": 4,
            "drain_linger_s": 0.5,
            **overrides,
        }
        program = self._start(["entry"], settings)
        started = program.wait_for("entry_started")
        self.addresses[name] = started["address"]
        self._register(name, "entry", started["address"], started["control"])
        return program

    def start_engine(self, name, **overrides):
        settings = {"name": name, "models": ["vezi-lm"], "port": 0, **overrides}
        program = self._start(["standin", "engine"], settings)
        self.addresses[name] = program.wait_for("standin_started")["address"]
        return program

    def start_sidecar(self, name, engine, service="vezi-lm", **overrides):
        settings = {
            "name": name,
            "place": PLACE,
            "service": service,
            "engines": [{"name": engine, "url": f"http://{self.addresses[engine]}"}],
            "list_url": f"http://{self.addresses['list']}",
            "internal_key": KEY,
            "port": 0,
            **overrides,
        }
        program = self._start(["sidecar"], settings)
        started = program.wait_for("sidecar_started")
        self.addresses[name] = started["address"]
        self._register(name, "backend_server", started["address"], "", service)
        return program

    def publish(self, entry="entry-1"):
        """Publishes the example questionnaire with the keys of this fleet."""
        text = example_text("vezi")
        api_key = make_api_key("caller", "sewing-stations", "secret", salt=SALT)
        operator = make_operator_key("op", "o", "admin", "secret", salt=SALT)
        text = text.replace("stations-1", "caller").replace("op-ana", "op")
        text = text.replace(
            "56464762899d8c5deac0955b49f5b426d48b30faa38d14ff30fa383bfadb0a8a",
            api_key.digest,
        ).replace("b0b6dd8fb4516b0e", SALT)
        text = text.replace(
            "39724812e49fdc6b24c9aa9df4514838553b7df53a26fa76795b096b034dd156",
            operator.digest,
        ).replace("f45624a4f461c887", SALT)
        path = self.folder / "questionnaire.jsonc"
        path.write_text(text)
        return self.command("publish", str(path), "--base", "0", entry=entry, token=KEY)

    def command(self, *arguments, entry="entry-1", token=None):
        """Runs an operator's command, which succeeds, and returns its output."""
        done = self._run(arguments, entry, token)
        assert done.returncode == 0, done.stdout + done.stderr + self.all_logs()
        return done.stdout

    def wait_for_servers(self, *names):
        """Waits until backend servers serve the newest version.

        Until then the command ``status`` exits with 1, as some instances lack it.
        """

        def are_serving():
            lines = self._run(["status"], "entry-1", None).stdout.splitlines()
            is_listed = all(any(name in line for line in lines) for name in names)
            return is_listed and "in force on all instances" in lines

        self.wait_until(are_serving)
        self.command("status")

    def _run(self, arguments, entry, token):
        env = {
            **os.environ,
            "PYTHONPATH": str(SOURCE),
            "POMELOSHIFT_ENTRY": f"http://{self.addresses[entry]}",
            "POMELOSHIFT_TOKEN": token or self.operator_token,
        }
        return subprocess.run(
            [sys.executable, "-m", "pomeloshift", *arguments],
            capture_output=True,
            text=True,
            env=env,
            timeout=TIMEOUT_S,
        )

    def call(self, method, path, body=None, entry="entry-1", headers=None):
        """Sends a caller's request and returns the status and JSON body."""
        data = None if body is None else json.dumps(body).encode()
        request = urllib.request.Request(
            f"http://{self.addresses[entry]}{path}", data, method=method
        )
        request.add_header("authorization", f"Bearer {self.caller_key}")
        request.add_header("content-type", "application/json")
        for name, value in (headers or {}).items():
            request.add_header(name, value)
        try:
            with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
                return response.status, json.loads(response.read())
        except urllib.error.HTTPError as exc:
            with exc:
                return exc.code, json.loads(exc.read())

    def wait_until(self, condition):
        """Waits until a condition holds; fails after ``TIMEOUT_S``."""
        deadline = time.monotonic() + TIMEOUT_S
        while not condition():
            assert time.monotonic() < deadline, self.all_logs()
            time.sleep(0.1)

    def all_logs(self):
        """Returns the log lines of all programs, for failure messages."""
        return "".join(line for program in self.programs for line in program.lines)

    def stop(self):
        for program in self.programs:
            program.kill()

    def _start(self, arguments, settings):
        program = Program(arguments, settings, self.folder)
        self.programs.append(program)
        return program

    def _register(self, name, role, address, control, service=""):
        instance = {
            "name": name,
            "role": role,
            "place": PLACE,
            "address": address,
            "control_address": control,
            "service": service,
        }
        request = urllib.request.Request(
            f"http://{self.addresses['list']}/instances/{name}",
            json.dumps(instance).encode(),
            method="PUT",
        )
        with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
            assert response.status == 200
