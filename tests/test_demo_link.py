from pomeloshift.demo._link import Link


def test_link_serialises_transfers_and_counts_bytes():
    link = Link(bytes_per_s=1000.0)
    assert link.departure(500, now=0.0) == 0.5
    assert link.departure(500, now=0.1) == 1.0
    assert link.departure(100, now=5.0) == 5.1
    assert link.bytes_sent == 1100
