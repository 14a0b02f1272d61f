"""An HTTP/1.1 server and client on top of h11 and Twisted."""

from ._client import Client
from ._client_connection import Call
from ._connection_pool import ConnectionPool
from ._errors import CallTimeoutError, ConnectError, ConnectionBrokenError
from ._listener import HttpListener
from ._mailbox import Mailbox
from ._messages import (
    Chunk,
    Disconnected,
    HeaderList,
    Headers,
    RequestHead,
    Response,
    ResponseEnd,
    ResponseHead,
)
from ._pool_config import PoolConfig
from ._server_connection import Exchange

__all__ = [
    "Call",
    "CallTimeoutError",
    "Chunk",
    "Client",
    "ConnectError",
    "ConnectionBrokenError",
    "ConnectionPool",
    "Disconnected",
    "Exchange",
    "HeaderList",
    "Headers",
    "HttpListener",
    "Mailbox",
    "PoolConfig",
    "RequestHead",
    "Response",
    "ResponseEnd",
    "ResponseHead",
]
