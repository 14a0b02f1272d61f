"""Simulates the entries, servers and callers of an overload bench."""

from random import Random

from ...model import Instance, InstanceRole, Place
from ..routing._virtual_loop import VirtualLoop
from ._bench_entry import SERVICE, BenchEntry
from ._caller import Caller, CallerTotals
from ._slot_server import PREFILL_S, SLOTS, TOKEN_S, SlotServer
from ._variant import Variant

DURATION_S = 60.0
SERVERS = 5
ENTRIES = 3
REPORT_INTERVAL_S = 0.5
REPORT_LAG_S = 0.5
POLL_S = 0.05
MEAN_OUTPUT_TOKENS = 60
MAX_OUTPUT_TOKENS = 400
PLACE = Place("region-1", "zone-a")

# The rate, in requests a second, that occupies every slot of the fleet.
CAPACITY_PER_S = SERVERS * SLOTS / (PREFILL_S + MEAN_OUTPUT_TOKENS * TOKEN_S)


class Simulation:
    """Runs Poisson arrivals of several workspaces against one variant.

    ``rates_per_s`` holds the arrival rate of each workspace.
    """

    def __init__(
        self, variant: Variant, rates_per_s: dict[str, float], seed: int
    ) -> None:
        self._loop = VirtualLoop()
        self._rng = Random(f"{seed}/reports")
        self._rates = rates_per_s
        self._seed = seed
        self._servers = self._make_servers(variant)
        self._entries = [
            BenchEntry(
                f"entry-{number}",
                PLACE,
                self._servers,
                variant,
                self._loop,
                Random(f"{seed}/entry/{number}"),
            )
            for number in range(ENTRIES)
        ]
        self.totals = {name: CallerTotals() for name in rates_per_s}

    def run(self) -> dict[str, CallerTotals]:
        """Runs the simulation and returns the counters of each workspace's callers."""
        instances = [server.instance for server in self._servers.values()]
        for entry in self._entries:
            entry.router.observe_instances([*instances, *_entry_instances()], 0.0)
        self._report()
        self._poll()
        for name, rate in self._rates.items():
            self._schedule(name, rate)
        self._loop.run(DURATION_S)
        return self.totals

    def _make_servers(self, variant: Variant) -> dict[str, SlotServer]:
        servers = {}
        for number in range(SERVERS):
            name = f"server-{number}"
            role = InstanceRole.BACKEND_SERVER
            instance = Instance(name, role, PLACE, "", service=SERVICE)
            servers[name] = SlotServer(instance, self._loop, variant.max_queue)
        return servers

    def _schedule(self, workspace: str, rate: float) -> None:
        """Draws all arrivals in advance, so that every variant gets the same ones."""
        rng = Random(f"{self._seed}/{workspace}")
        at = rng.expovariate(rate)
        number = 0
        while at < DURATION_S:
            tokens = min(
                MAX_OUTPUT_TOKENS, 1 + int(rng.expovariate(1 / MEAN_OUTPUT_TOKENS))
            )
            totals = self.totals[workspace]
            caller = Caller(
                f"{workspace}-{number}",
                workspace,
                tokens,
                self._entries,
                totals,
                self._loop,
                Random(rng.random()),
            )
            totals.requests += 1
            self._loop.at(at, caller.send)
            at += rng.expovariate(rate)
            number += 1

    def _report(self) -> None:
        for server in self._servers.values():
            report = server.report()
            for entry in self._entries:
                lag_s = self._rng.uniform(0.0, REPORT_LAG_S)
                at = self._loop.now + lag_s
                self._loop.at(at, entry.router.observe_report, report, at)
        self._loop.after(REPORT_INTERVAL_S, self._report)

    def _poll(self) -> None:
        for entry in self._entries:
            entry.poll()
        self._loop.after(POLL_S, self._poll)


def _entry_instances() -> list[Instance]:
    return [
        Instance(f"entry-{number}", InstanceRole.ENTRY, PLACE, "")
        for number in range(ENTRIES)
    ]
