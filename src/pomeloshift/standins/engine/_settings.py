"""Settings of the engine stand-in."""

import attrs
from attrs import validators as v


@attrs.frozen
class EngineSettings:
    """The step times, memory and faults of one engine.

    A step lasts ``step_base_s`` plus ``step_per_sequence_s`` for each sequence that
    decodes plus ``step_per_prefill_token_s`` for each token prefilled in it, all
    divided by ``speed``. Times are in seconds and memory in tokens.

    ``cache_event_gap`` is the share of cache events that are lost, from 0 to 1. A
    prompt that contains ``crash_marker`` crashes the engine when its first token is
    due; an empty marker turns that off. The engine restarts ``restart_s`` after a
    crash, or never if that is 0. A command takes ``order_s``; one with an old fencing
    token is rejected only with ``checks_fencing``.
    """

    host: str = "127.0.0.1"
    port: int = attrs.field(default=0, validator=[v.ge(0), v.le(65535)])
    name: str = attrs.field(default="engine-1", validator=v.min_len(1))
    models: tuple[str, ...] = attrs.field(default=("vezi-lm",))
    decode_slots: int = attrs.field(default=128, validator=v.ge(1))
    kv_tokens: int = attrs.field(default=200_000, validator=v.ge(1))
    prefix_cache_tokens: int = attrs.field(default=100_000, validator=v.ge(0))
    prefill_chunk_tokens: int = attrs.field(default=256, validator=v.ge(1))
    step_base_s: float = attrs.field(default=0.010, validator=v.gt(0))
    step_per_sequence_s: float = attrs.field(default=0.00025, validator=v.ge(0))
    step_per_prefill_token_s: float = attrs.field(default=0.00004, validator=v.ge(0))
    speed: float = attrs.field(default=1.0, validator=v.gt(0))
    load_lag_s: float = attrs.field(default=0.5, validator=v.ge(0))
    cache_event_lag_s: float = attrs.field(default=1.0, validator=v.ge(0))
    cache_event_gap: float = attrs.field(default=0.1, validator=[v.ge(0), v.le(1)])
    checks_fencing: bool = True
    crash_marker: str = "CRASH-ENGINE"
    restart_s: float = attrs.field(default=2.0, validator=v.ge(0))
    order_s: float = attrs.field(default=0.5, validator=v.ge(0))

    def step_s(self, sequences: int, prefill_tokens: int) -> float:
        """Returns the length of a step with that much work, in seconds."""
        work_s = (
            self.step_base_s
            + self.step_per_sequence_s * sequences
            + self.step_per_prefill_token_s * prefill_tokens
        )
        return work_s / self.speed
