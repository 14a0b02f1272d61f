"""An HTTP agent that tells a connection that was reset from one that has ended."""

from typing import Any

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import HostnameEndpoint, wrapClientTLS
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from twisted.web.client import URI, Agent, BrowserLikePolicyForHTTPS, HTTPConnectionPool
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer


@attrs.define
class ConnectionEnd:
    """How the connection that is ending right now has ended.

    The agent reports the end of a body without a length in the same way for both, while
    ``was_reset`` is set.
    """

    was_reset: bool = False


class _WatchedConnection(ProtocolWrapper):
    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        factory: Any = self.factory
        factory.end.was_reset = reason.check(ConnectionDone) is None
        try:
            super().connectionLost(reason)
        finally:
            factory.end.was_reset = False


class _WatchingFactory(WrappingFactory):
    protocol = _WatchedConnection
    noisy = False

    def __init__(self, wrapped: Any, end: ConnectionEnd) -> None:
        super().__init__(wrapped)
        self.end = end


@implementer(IStreamClientEndpoint)
@attrs.define
class _WatchedEndpoint:
    endpoint: Any
    end: ConnectionEnd

    def connect(self, factory: Any) -> Deferred[Any]:
        connecting = self.endpoint.connect(_WatchingFactory(factory, self.end))
        return connecting.addCallback(lambda connection: connection.wrappedProtocol)


@implementer(IAgentEndpointFactory)
@attrs.define
class _WatchedEndpoints:
    reactor: Any
    connect_timeout_s: float
    end: ConnectionEnd

    def endpointForURI(self, uri: URI) -> _WatchedEndpoint:  # noqa: N802
        host = uri.host.decode()
        endpoint: Any = HostnameEndpoint(
            self.reactor, host, uri.port, timeout=self.connect_timeout_s
        )
        if uri.scheme == b"https":
            policy = BrowserLikePolicyForHTTPS()
            endpoint = wrapClientTLS(
                policy.creatorForNetloc(uri.host, uri.port), endpoint
            )
        return _WatchedEndpoint(endpoint, self.end)


def watched_agent(
    reactor: Any, pool: HTTPConnectionPool, connect_timeout_s: float
) -> tuple[Agent, ConnectionEnd]:
    """Returns an agent for ``http`` and ``https``, and the end of its connections.

    ``connect_timeout_s`` is in seconds.
    """
    end = ConnectionEnd()
    endpoints = _WatchedEndpoints(reactor, connect_timeout_s, end)
    return Agent.usingEndpointFactory(reactor, endpoints, pool), end
