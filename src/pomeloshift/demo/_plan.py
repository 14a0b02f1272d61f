"""The instances of the demo: the deployment of the ``vezi`` example."""

import attrs

from ..model import Place

KRANJ_A = Place("gorenjska", "kranj-a")
KRANJ_B = Place("gorenjska", "kranj-b")
MARIBOR_A = Place("stajerska", "maribor-a")

# One-way latencies between availability zones, between regions and from callers.
ZONE_LATENCY_S = 0.0015
REGION_LATENCY_S = 0.020
CALLER_LATENCY_S = 0.001
LINK_BYTES_PER_S = 15_000_000 / 8

MODEL = "vezi-lm"
PLAIN_SERVICE = "schedule-desk"


@attrs.frozen
class PlannedInstance:
    """The name and the place of one instance."""

    name: str
    place: Place


ENTRIES = (
    PlannedInstance("entry-1", KRANJ_A),
    PlannedInstance("entry-2", MARIBOR_A),
)
BACKEND_SERVERS = (
    PlannedInstance("vezi-lm-1", KRANJ_A),
    PlannedInstance("vezi-lm-2", KRANJ_A),
    PlannedInstance("vezi-lm-3", KRANJ_B),
    PlannedInstance("vezi-lm-4", KRANJ_B),
    PlannedInstance("vezi-lm-5", MARIBOR_A),
)
PLAIN_SERVER = PlannedInstance("schedule-desk-1", KRANJ_B)
PLATFORM = KRANJ_A
