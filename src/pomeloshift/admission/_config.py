"""How one backend server's admission is set."""

import attrs
from attrs import validators as v

from ..config import ServiceConfig


@attrs.frozen
class AdmissionConfig:
    """Targets in seconds and the weight of batch throughput against harm.

    ``batch_weight`` is 0 where online tail latency alone counts and 1 where batch
    throughput alone counts. Online streams that would wait longer than
    ``online_wait_s`` for a place are shed. A batch stream that was taken back and
    found no room for ``held_s`` is released to its partition owner.
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
        """The first-token time allowed, as a multiple of that without batch."""
        return 1.0 + 0.13 * self.batch_weight

    @property
    def tail_quantile(self) -> float:
        """The quantile of first-token times that the allowed time stands for."""
        return 0.94 + 0.06 * self.batch_weight

    @property
    def queue_streams(self) -> int:
        """The prompts being read beyond which arrivals count as queued."""
        return 2

    @property
    def queue_quantile(self) -> float:
        """The quantile of first-token times that is allowed to queued arrivals."""
        return 0.8

    @property
    def busy_arrivals(self) -> int:
        """The arrivals in one long time of reading from which batch gives way."""
        return 3 if self.batch_weight >= 0.5 else 2

    @property
    def busy_s(self) -> float:
        """The time of unbroken reading after which batch gives way in any case."""
        return 0.14 + 0.04 * self.batch_weight

    @property
    def highest_pace_scale(self) -> float:
        """The share of the between-tokens target that steps may take at most."""
        return min(1.0, 0.86 + 0.18 * self.batch_weight)


def admission_config(service: ServiceConfig) -> AdmissionConfig:
    """Returns the admission settings that a service's configuration asks for."""
    return AdmissionConfig(
        first_token_target_s=service.first_token_target_s,
        between_tokens_target_s=service.between_tokens_target_s,
        batch_weight=service.batch_weight,
    )
