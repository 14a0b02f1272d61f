from pomeloshift.dispatch import PEER_VALID_S, PeerView
from pomeloshift.dispatch._peer_view import ALONE_S

PEERS = {"a", "b", "c"}


def test_entry_that_starts_waits_until_it_has_heard_all_its_peers():
    view = PeerView()
    assert not view.is_complete(PEERS, set(), 0.0)
    assert not view.is_complete(PEERS, {"a", "b"}, 0.1)
    assert view.is_complete(PEERS, PEERS, 0.2)


def test_dead_peer_delays_an_entry_only_for_the_time_of_a_heartbeat():
    view = PeerView()
    view.is_complete(PEERS, {"a"}, 0.0)
    assert not view.is_complete(PEERS, {"a", "b"}, PEER_VALID_S - 0.1)
    assert view.is_complete(PEERS, {"a", "b"}, PEER_VALID_S)


def test_entry_that_no_longer_hears_anybody_does_not_take_over_everything():
    view = PeerView()
    assert view.is_complete(PEERS, PEERS, 0.0)
    assert not view.is_complete(PEERS, set(), 10.0)
    assert not view.is_complete(PEERS, {"a"}, 12.0)
    assert view.is_complete(PEERS, PEERS, 12.1)


def test_only_survivor_works_on_after_a_while():
    view = PeerView()
    view.is_complete(PEERS, set(), 0.0)
    assert not view.is_complete(PEERS, set(), ALONE_S - 0.1)
    assert view.is_complete(PEERS, set(), ALONE_S)


def test_entry_without_peers_does_not_wait():
    assert PeerView().is_complete(set(), set(), 0.0)


def test_entry_whose_peers_die_one_by_one_works_on():
    view = PeerView()
    assert view.is_complete(PEERS, PEERS, 0.0)
    assert view.is_complete(PEERS, {"a", "b"}, 20.0)
    assert view.is_complete(PEERS, {"a"}, 20.1)
