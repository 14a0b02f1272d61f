"""Limits at the target size: 51 million items a day on 2,300 nodes of 64 MB."""

import pytest

from pomeloshift.bench.batch import measure_appends, measure_state
from pomeloshift.entry.batch import BatchSettings

ITEMS_PER_DAY = 51_000_000
NODES = 2_300
RESULT_RETENTION_DAYS = 7
NODE_BYTES = 64_000_000
STATE_SHARE = 0.1
PEAK_FACTOR = 4
LOG_APPENDS_PER_S = 300
SECONDS = 60


def test_memory_of_an_item_fits_the_target():
    items_per_node = ITEMS_PER_DAY * RESULT_RETENTION_DAYS / NODES
    allowed = STATE_SHARE * NODE_BYTES / items_per_node
    measured = measure_state(20_000)
    assert measured.state_bytes_per_item <= allowed
    assert measured.records == 20_000 + 40 + 1


@pytest.mark.parametrize("partitions", [16, 128, 1024])
def test_appends_at_the_peak_of_the_target_fit_the_log(partitions):
    limits = BatchSettings().commit_limits(partitions)
    rate = PEAK_FACTOR * ITEMS_PER_DAY / 86_400 / partitions
    measured = measure_appends(rate, limits)
    assert (
        measured.appends_per_s * partitions <= LOG_APPENDS_PER_S / 2 + partitions / 60
    )
    assert measured.max_waiting_records <= limits.buffer_records / 2
    assert measured.settle_p95_s <= 2 * limits.min_interval_s + 0.1
