"""What an objective is about, and what its budget is spent on."""

from enum import Enum


class Indicator(Enum):
    """A property that a request has or lacks."""

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
