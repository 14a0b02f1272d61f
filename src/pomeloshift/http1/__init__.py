"""An HTTP/1.1 server and client on top of h11 and Twisted."""

from ._caller_memory import CallerMemory, ConnectionMemory, Grant
from ._client import Client
from ._client_connection import Call
from ._connection_pool import ConnectionPool
from ._errors import (
    CallTimeoutError,
    ConnectError,
    ConnectionBrokenError,
    InvalidRequestError,
)
from ._exchange import Exchange
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
    is_final_status,
)
from ._pool_config import PoolConfig

__all__ = [
    "Call",
    "CallTimeoutError",
    "CallerMemory",
    "Chunk",
    "Client",
    "ConnectError",
    "ConnectionBrokenError",
    "ConnectionPool",
    "ConnectionMemory",
    "Disconnected",
    "Exchange",
    "HeaderList",
    "Grant",
    "Headers",
    "HttpListener",
    "InvalidRequestError",
    "Mailbox",
    "PoolConfig",
    "RequestHead",
    "Response",
    "ResponseEnd",
    "ResponseHead",
    "is_final_status",
]
