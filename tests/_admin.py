import json
import re
from random import Random

import attrs
import msgspec
import treq

from pomeloshift.admin import (
    ROUTES,
    AdminApi,
    AdminNotFoundError,
    AuditLog,
    InstanceView,
    JobView,
    OperatorAuthenticator,
    QuarantineView,
)
from pomeloshift.admin._openapi import describe
from pomeloshift.config import make_operator_key
from pomeloshift.entry._auth import Authenticator
from pomeloshift.entry.burn import BurnPeers, BurnService
from pomeloshift.entry.config import ConfigService
from pomeloshift.net import SystemClock
from pomeloshift.net._serve import serve
from pomeloshift.questionnaire import (
    KeyAnswers,
    OperatorAnswers,
    Role,
    load_example,
    render_answers,
)
from pomeloshift.standins.log import LogModel, LogSettings, MemoryLog

INTERNAL_KEY = "internal-key-of-the-tests"
SECRETS = {"viewer": "v" * 32, "operator": "o" * 32, "admin": "a" * 32}


def operators():
    found = []
    for role, secret in SECRETS.items():
        key = make_operator_key(f"op-{role}", role, role, secret, salt="salt-1234")
        answers = KeyAnswers(key.key_id, key.salt, key.digest)
        found.append(OperatorAnswers(role, answers, Role(role)))
    return tuple(found)


def questionnaire(**changes):
    answers = attrs.evolve(load_example("vezi"), operators=operators())
    return render_answers(attrs.evolve(answers, **changes))


class FakeFleet:
    def __init__(self):
        self.versions = {"e1": 99, "b1": 99}
        self.drained = []

    def instances(self):
        return [
            InstanceView(name, "entry", "r", "z", "h:1", "live", version)
            for name, version in self.versions.items()
        ]

    async def drain(self, name):
        if name not in self.versions:
            raise AdminNotFoundError(f"there is no instance {name!r}")
        self.drained.append(name)
        return "draining"


class FakeJobs:
    def __init__(self):
        self.jobs = {"j1": JobView("j1", "order-desk", "running", 9, 3, 0)}

    async def list_jobs(self, workspace, limit):
        found = [j for j in self.jobs.values() if workspace in ("", j.workspace)]
        return found[:limit]

    async def get_job(self, job_id):
        if job_id not in self.jobs:
            raise AdminNotFoundError(f"there is no job {job_id!r}")
        return self.jobs[job_id]

    async def cancel_job(self, job_id):
        job = attrs.evolve(await self.get_job(job_id), state="cancelled")
        self.jobs[job_id] = job
        return job


class FakeQuarantine:
    def __init__(self):
        self.found = {"f1": QuarantineView("f1", "vezi-lm", 2, 60.0)}

    def quarantined(self):
        return list(self.found.values())

    async def release(self, fingerprint):
        if self.found.pop(fingerprint, None) is None:
            raise AdminNotFoundError(f"{fingerprint!r} is not quarantined")


class Loop:
    """Runs functions and coroutines on the reactor of the test session."""

    def __init__(self, reactor, run_async):
        self.reactor = reactor
        self._run_async = run_async

    def run(self, function, *args):
        result = function(*args)
        return self._run_async(result) if hasattr(result, "send") else result


class Harness:
    """An administration API on a loopback port, with an in-memory log."""

    def __init__(self, loop):
        self.loop = loop
        clock = SystemClock()
        self.model = LogModel(LogSettings(), Random(1))
        log = MemoryLog(self.model, clock.monotonic)
        rng = Random(2)
        self.config = ConfigService(
            "e1", log, clock, loop.reactor, rng, "gorenjska", lambda: []
        )
        self.auth = Authenticator(lambda: self.config.current)
        new_secret = lambda: f"{rng.getrandbits(256):064x}"
        self.audit = AuditLog("e1", log, clock, loop.reactor, new_secret)
        self.fleet, self.jobs = FakeFleet(), FakeJobs()
        self.quarantine = FakeQuarantine()
        self.peers = []
        current = lambda: self.config.current
        peers = BurnPeers("e1", lambda: self.peers, INTERNAL_KEY, loop.reactor)
        self.burn = BurnService(
            "e1", log, clock, loop.reactor, rng, lambda: self.peers, current, peers
        )
        api = AdminApi(
            OperatorAuthenticator(self.auth, INTERNAL_KEY),
            self.config,
            self.fleet,
            self.jobs,
            self.quarantine,
            self.audit,
            new_secret,
            self.burn,
        )
        self.listener = loop.run(serve, loop.reactor, api.resource, "127.0.0.1")

    def call(self, method, path, body=None, *, role="admin", token=None, raw=None):
        token = token or f"op-{role}.{SECRETS.get(role, '')}"

        async def send():
            response = await treq.request(
                method,
                f"http://{self.listener.address}/admin/v1{path}",
                headers={"Authorization": f"Bearer {token}"},
                data=raw if raw is not None else json.dumps(body).encode(),
                persistent=False,
            )
            return response.code, await response.content()

        return self.loop.run(send)

    def ok(self, method, path, body=None, **options):
        route = find_route(method, path)
        status, content = self.call(method, path, body, **options)
        assert status == route.status, content
        if route.response is not dict:
            msgspec.json.decode(content, type=route.response)
        return json.loads(content)

    def error(self, method, path, body=None, **options):
        status, content = self.call(method, path, body, **options)
        error = json.loads(content)["error"]
        route = find_route(method, path)
        if route is not None:
            assert status in documented_statuses(route), (status, route)
        return error

    def publish(self, base, text=None, **options):
        body = {"base_version": base, "questionnaire": text or questionnaire()}
        return self.ok("POST", "/configuration", body, **options)["version"]


def find_route(method, path):
    path = path.partition("?")[0]
    for route in ROUTES:
        pattern = re.sub(r"\{\w+\}", "[^/]+", route.path)
        if route.method == method and re.fullmatch(pattern, path):
            return route
    return None


def documented_statuses(route):
    operation = describe([route])["paths"][route.full_path][route.method.lower()]
    return {int(status) for status in operation["responses"]}
