from _loop import shared_loop
from twisted.web.resource import Resource

from pomeloshift.net._serve import serve


def test_listener_that_was_closed_may_be_stopped():
    loop = shared_loop()
    listener = loop.run(serve, loop.reactor, Resource(), "127.0.0.1")
    loop.run(listener.stop_accepting)
    loop.run(listener.stop)
    loop.run(listener.stop)
