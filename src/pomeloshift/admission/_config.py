"""The settings of a backend server's admission."""

import attrs
from attrs import validators as v

from ..config import ServiceConfig


@attrs.frozen
class AdmissionConfig:
    """Latency targets and the weight of batch throughput against online latency.

    ``batch_weight`` is 0 where only online tail latency counts and 1 where only
    batch throughput counts. Online streams that would wait longer than
    ``online_wait_s`` for a slot are shed. A batch stream that has waited for
    ``held_s``, preempted or not started yet, is released to its partition owner.
    ``ready_batch_streams`` is the number of batch streams to hold ready beyond those
    that can start now. ``max_batch_streams`` bounds the running batch streams.
    """

    first_token_target_s: float = attrs.field(default=0.7, validator=v.gt(0))
    between_tokens_target_s: float = attrs.field(default=0.04, validator=v.gt(0))
    batch_weight: float = attrs.field(default=0.5, validator=[v.ge(0), v.le(1)])
    online_wait_s: float = attrs.field(default=2.5, validator=v.gt(0))
    held_s: float = attrs.field(default=10.0, validator=v.gt(0))
    ready_batch_streams: int = attrs.field(default=8, validator=v.ge(0))
    max_batch_streams: int = attrs.field(default=512, validator=v.ge(0))

    @property
    def tail_ratio(self) -> float:
        """The allowed time to first token, relative to that without batch work."""
        return 1.0 + 0.13 * self.batch_weight

    @property
    def tail_quantile(self) -> float:
        """The quantile of batch-free waits up to which any arrival may wait."""
        return 0.94 + 0.06 * self.batch_weight

    @property
    def queue_streams(self) -> int:
        """The number of online prompts in prefill above which an arrival is queued."""
        return 2

    @property
    def queue_quantile(self) -> float:
        """The quantile that replaces `tail_quantile` for queued arrivals."""
        return 0.8

    @property
    def busy_arrivals(self) -> int:
        """The number of arrivals in a busy period that counts as a queue.

        From this number on, batch work is reduced sooner than after `busy_s`.
        """
        return 3 if self.batch_weight >= 0.5 else 2

    @property
    def busy_s(self) -> float:
        """The seconds of unbroken online prefill after which batch work is reduced.

        Batch streams are then preempted until they take a small share of each step.
        """
        return 0.14 + 0.04 * self.batch_weight

    @property
    def max_step_scale(self) -> float:
        """The largest step-time target, as a share of the between-tokens target."""
        return min(1.0, 0.86 + 0.18 * self.batch_weight)


def admission_config(service: ServiceConfig) -> AdmissionConfig:
    """Returns the admission settings for a service's configuration."""
    return AdmissionConfig(
        first_token_target_s=service.first_token_target_s,
        between_tokens_target_s=service.between_tokens_target_s,
        batch_weight=service.batch_weight,
    )
