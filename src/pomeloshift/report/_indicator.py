"""Service-level indicators, and the causes of requests that miss an objective."""

from enum import Enum


class Indicator(Enum):
    """A service-level indicator.

    ``ANSWERED`` is met by a request without an error, and the others by one within the
    target time of its service.
    """

    ANSWERED = "answered"
    FIRST_TOKEN = "first_token"
    BETWEEN_TOKENS = "between_tokens"


class SpendCause(Enum):
    """Why a request missed an objective."""

    BATCH_HARM = "batch_harm"
    OVERLOAD = "overload"
    BACKEND_FAULT = "backend_fault"
    CROSS_REGION = "cross_region"
    OTHER = "other"
