"""Evaluates one request against the objectives of its service."""

import attrs

from ..config import ServiceConfig
from ..errors import ErrorCode
from ._indicator import Indicator, SpendCause
from ._sample import RequestSample

CALLER_ERRORS = frozenset(
    {
        ErrorCode.INVALID_REQUEST,
        ErrorCode.BODY_TOO_LARGE,
        ErrorCode.INVALID_JSONL,
        ErrorCode.UNAUTHENTICATED,
        ErrorCode.FORBIDDEN,
        ErrorCode.NOT_FOUND,
        ErrorCode.UNKNOWN_MODEL,
        ErrorCode.UNKNOWN_SERVICE,
        ErrorCode.IDEMPOTENCY_CONFLICT,
        ErrorCode.RATE_LIMITED,
        ErrorCode.CANCELLED,
        ErrorCode.QUARANTINED,
    }
)
OVERLOAD_ERRORS = frozenset(
    {ErrorCode.OVERLOADED, ErrorCode.DEADLINE_EXCEEDED, ErrorCode.LOG_RATE_LIMITED}
)
BACKEND_ERRORS = frozenset(
    {
        ErrorCode.NO_BACKEND_SERVER,
        ErrorCode.BACKEND_SERVER_LOST,
        ErrorCode.OUTCOME_UNKNOWN,
        ErrorCode.PROTOCOL_ERROR,
        ErrorCode.ITEM_FAILED,
    }
)


@attrs.frozen
class IndicatorResult:
    """Whether a request met an objective; ``cause`` is `None` if it did."""

    indicator: Indicator
    cause: SpendCause | None = None


def evaluate(sample: RequestSample, service: ServiceConfig) -> list[IndicatorResult]:
    """Returns one result for each indicator that applies to the request.

    A request that failed because of an error of the caller gives no result. Any
    other failed request gives only an ``ANSWERED`` result, because it has no times.
    """
    if sample.error in CALLER_ERRORS:
        return []
    if sample.error is not None:
        return [IndicatorResult(Indicator.ANSWERED, _cause_of_error(sample.error))]
    results = [IndicatorResult(Indicator.ANSWERED)]
    times = (
        (Indicator.FIRST_TOKEN, sample.first_token_s, service.first_token_target_s),
        (
            Indicator.BETWEEN_TOKENS,
            sample.between_tokens_s,
            service.between_tokens_target_s,
        ),
    )
    for indicator, measured, target in times:
        if measured is not None:
            cause = _cause_of_delay(sample) if measured > target else None
            results.append(IndicatorResult(indicator, cause))
    return results


def _cause_of_error(error: ErrorCode) -> SpendCause:
    if error in OVERLOAD_ERRORS:
        return SpendCause.OVERLOAD
    if error in BACKEND_ERRORS:
        return SpendCause.BACKEND_FAULT
    return SpendCause.OTHER


def _cause_of_delay(sample: RequestSample) -> SpendCause:
    if sample.retries:
        return SpendCause.BACKEND_FAULT
    if sample.crossed_region:
        return SpendCause.CROSS_REGION
    if sample.batch_streams:
        return SpendCause.BATCH_HARM
    return SpendCause.OVERLOAD
