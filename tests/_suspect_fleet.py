"""Simulates entries and backend servers in virtual time, with poison requests."""

from random import Random

from pomeloshift.attempts import (
    AbandonAttempt,
    AttemptAccepted,
    AttemptRefused,
    AttemptRegistry,
    BecameSuspect,
    Complete,
    ConnectionLost,
    Fail,
    FrameArrived,
    OnlineRequest,
    OpenAttempt,
    OpenOutcome,
    RequestSpec,
    ServerFailed,
    ServerFault,
    SetTimer,
    Started,
    SuspectTracker,
    Timer,
)
from pomeloshift.bench.routing._virtual_loop import VirtualLoop
from pomeloshift.entry.online._attempt_counter import AttemptCounter
from pomeloshift.entry.online._route_chooser import RouteChooser
from pomeloshift.limits import RetryBudget
from pomeloshift.model import Instance, InstanceRole, LoadReport, Place, Priority
from pomeloshift.routing import RouteQuery, Router, RouterConfig
from pomeloshift.wire import Frame, SidecarReport

PLACE = Place("r", "z")
LATENCY_S = 0.002
HEARTBEAT_S = 0.5
RESTART_S = 20.0
DEADLINE_S = 30.0
CRASH_WINDOW_S = 10.0


class Server:
    def __init__(self, name, loop):
        role = InstanceRole.BACKEND_SERVER
        self.instance = Instance(name, role, PLACE, f"{name}:1", service="m")
        self.loop = loop
        self.incarnation = 0
        self.crashes = 0
        self.restart()

    def restart(self):
        self.incarnation += 1
        self.sequence = 0
        self.alive = True
        self.registry = AttemptRegistry(incarnation=self.incarnation)
        self.watchers = {}

    def crash(self):
        self.alive = False
        self.crashes += 1
        for watch in list(self.watchers.values()):
            watch(None)
        self.loop.after(RESTART_S, self.restart)

    def report(self):
        self.sequence += 1
        load = LoadReport(online_tokens=len(self.watchers), capacity_tokens=1000)
        return SidecarReport(self.instance, self.incarnation, self.sequence, 0, load)

    def run(self, attempt, seconds, is_poison, watch):
        """Starts or joins an attempt; returns the error of a refusal.

        ``watch`` is called with each frame, or with `None` for a lost connection.
        """
        opened = self.registry.open(attempt, self.loop.now)
        if opened.kind is OpenOutcome.REFUSED:
            return opened.error
        self.watchers[attempt.attempt_id] = watch
        if opened.kind is OpenOutcome.STARTED:
            self.loop.after(
                seconds, self.end, self.incarnation, attempt.attempt_id, is_poison
            )
        return None

    def end(self, incarnation, attempt_id, is_poison):
        if not self.alive or incarnation != self.incarnation:
            return
        if not self.registry.is_running(attempt_id):
            return
        if is_poison:
            self.crash()
            return
        self.watchers.pop(attempt_id)(self.registry.finish(attempt_id))


class Entry:
    def __init__(self, number, fleet, rng):
        self.name = f"e{number}"
        self.fleet = fleet
        self.loop = fleet.loop
        self.rng = rng
        self.router = Router(RouterConfig(name=self.name), PLACE, rng)
        self.suspects = SuspectTracker()
        self.budget = RetryBudget()
        self.sent = 0

    def send(self, body, seconds, is_poison, on_end):
        self.sent += 1
        spec = RequestSpec(
            f"{self.name}-{self.sent}",
            "w",
            "m",
            "POST",
            "/",
            body,
            self.loop.now + DEADLINE_S,
            fingerprint=body.decode(),
        )
        Exchange(self, spec, seconds, is_poison, on_end).feed(Started())


class Exchange:
    def __init__(self, entry, spec, seconds, is_poison, on_end):
        self.entry = entry
        self.loop = entry.loop
        self.spec = spec
        self.seconds = seconds
        self.is_poison = is_poison
        self.on_end = on_end
        query = RouteQuery(
            "m",
            Priority.ONLINE,
            1,
            1,
            DEADLINE_S,
            spec.fingerprint,
            first_token_s=0.7,
        )
        chooser = RouteChooser(
            entry.router, entry.suspects, query, spec.fingerprint, spec.deadline_at
        )
        self.attempt_counter = AttemptCounter(
            entry.router, entry.suspects, spec.fingerprint, 1
        )
        self.core = OnlineRequest(spec, chooser, entry.budget, entry.rng)
        entry.suspects.watch(spec.fingerprint, self.become_suspect)

    def become_suspect(self):
        self.loop.after(0.0, self.feed, BecameSuspect())

    def feed(self, event):
        for effect in self.core.handle(event, self.loop.now):
            self.execute(effect)

    def execute(self, effect):
        entry, now = self.entry, self.loop.now
        match effect:
            case OpenAttempt():
                self.attempt_counter.record_start(effect)
                self.loop.after(LATENCY_S, self.arrive, effect)
            case SetTimer(number=number, at=at):
                self.loop.at(at, self.feed, Timer(number))
            case AbandonAttempt(instance=instance, attempt_id=attempt_id):
                server = entry.fleet.servers[instance.name]
                server.registry.abandon(attempt_id, now)
                server.watchers.pop(attempt_id, None)
            case ServerFailed(instance=instance, fault=fault):
                entry.router.mark_failed(instance.name, now)
                if fault is ServerFault.CRASHED:
                    crash = f"{instance.name}/{int(now / CRASH_WINDOW_S)}"
                    entry.suspects.crashed(self.spec.fingerprint, crash, now)
                    entry.fleet.send_crash_records(entry)
                self.attempt_counter.record_end()
            case Complete():
                self.attempt_counter.record_end()
                entry.suspects.finished(self.spec.fingerprint, now)
                self.on_end(None)
            case Fail(error=error):
                self.attempt_counter.record_end()
                self.on_end(error)

    def arrive(self, effect):
        server = self.entry.fleet.servers[effect.instance.name]
        number = effect.connection
        if not server.alive:
            self.loop.after(LATENCY_S, self.feed, ConnectionLost(number, sent=False))
            return

        def watch(frame: Frame | None):
            lost = ConnectionLost(number)
            event = lost if frame is None else FrameArrived(number, frame)
            self.loop.after(LATENCY_S, self.feed, event)

        error = server.run(effect.request, self.seconds, self.is_poison, watch)
        accepted = AttemptAccepted(number)
        event = accepted if error is None else AttemptRefused(number, error)
        self.loop.after(LATENCY_S, self.feed, event)


class SuspectFleet:
    def __init__(self, seed, servers=6, entries=3):
        self.loop = VirtualLoop()
        self.rng = Random(seed)
        self.servers = {f"s{n}": Server(f"s{n}", self.loop) for n in range(servers)}
        self.entries = [Entry(n, self, Random(f"{seed}/{n}")) for n in range(entries)]
        self.ends = []
        self.send_heartbeats()

    @property
    def crashes(self):
        return sum(server.crashes for server in self.servers.values())

    def send_heartbeats(self):
        for server in self.servers.values():
            for entry in self.entries:
                if server.alive:
                    entry.router.observe_report(server.report(), self.loop.now)
        for entry in self.entries:
            self.send_crash_records(entry)
        self.loop.after(HEARTBEAT_S, self.send_heartbeats)

    def send_crash_records(self, entry):
        changes = entry.suspects.take_changes(self.loop.now)
        for other in self.entries:
            if other is not entry and changes:
                self.loop.after(LATENCY_S, self.receive_crash_records, other, changes)

    def receive_crash_records(self, entry, changes):
        entry.suspects.merge(changes, self.loop.now)

    def send_harmless(self, count):
        for number in range(count):
            at = self.rng.uniform(0.0, 3.0)
            entry = self.rng.choice(self.entries)
            seconds = self.rng.uniform(0.5, 3.0)
            body = f"innocent-{number}".encode()
            self.loop.at(at, entry.send, body, seconds, False, self.ends.append)

    def send_poison(self, at, body=b"poison", sends=4, crash_after_s=0.5):
        """Sends a poison request, which its caller retries after each error."""

        def retry(error):
            nonlocal sends
            sends -= 1
            if sends > 0:
                entry = self.rng.choice(self.entries)
                entry.send(body, crash_after_s, True, retry)

        entry = self.rng.choice(self.entries)
        self.loop.at(at, entry.send, body, crash_after_s, True, retry)
