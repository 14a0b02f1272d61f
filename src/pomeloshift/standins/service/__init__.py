"""A stand-in for a plain service, some calls of which are not idempotent."""

from ._call_counter import CallCount, CallCounter
from ._fault import ServiceFault
from ._server import PlainServiceServer
from ._settings import ServiceSettings

__all__ = [
    "CallCount",
    "CallCounter",
    "PlainServiceServer",
    "ServiceFault",
    "ServiceSettings",
]
