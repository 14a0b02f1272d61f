from twisted.web.resource import Resource

from pomeloshift.net._serve import serve


def test_listener_that_was_closed_may_be_stopped(reactor, run_async):
    listener = serve(reactor, Resource(), "127.0.0.1")
    run_async(listener.stop_accepting())
    run_async(listener.stop())
    run_async(listener.stop())
