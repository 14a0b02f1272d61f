"""The work that the engine model runs, and the outputs and load it reports."""

from collections.abc import Hashable

import attrs

BLOCK_TOKENS = 32


@attrs.frozen
class EngineWork:
    """One sequence: its prompt, and how many tokens it will produce.

    ``blocks`` are the keys of the prompt's full cache blocks; each key identifies all
    tokens up to the block's end. ``done_tokens`` were produced in an earlier run and
    are prefilled with the prompt. With ``crashes`` the engine crashes at the first
    token.
    """

    stream_id: str
    prompt_tokens: int = attrs.field(validator=attrs.validators.ge(1))
    output_tokens: int = attrs.field(validator=attrs.validators.ge(1))
    blocks: tuple[Hashable, ...] = ()
    done_tokens: int = 0
    crashes: bool = False


@attrs.frozen
class FirstToken:
    """A sequence completed its prefill and produced its first token."""

    stream_id: str
    at: float


@attrs.frozen
class WorkFinished:
    """A sequence produced its last token."""

    stream_id: str
    at: float


@attrs.frozen
class EngineCrashed:
    """The engine crashed; all sequences and the prefix cache are lost."""

    at: float


EngineOutput = FirstToken | WorkFinished | EngineCrashed


@attrs.frozen
class CacheEvent:
    """A block was stored in the prefix cache or evicted from it."""

    sequence: int
    at: float
    block: Hashable
    stored: bool


@attrs.frozen
class EngineLoad:
    """A snapshot of the engine's load; memory is in tokens.

    ``at`` is the time of the snapshot in seconds of the engine's clock, ``sequence``
    its number.
    """

    at: float = 0.0
    running: int = 0
    waiting: int = 0
    waiting_tokens: int = 0
    kv_tokens_used: int = 0
    kv_tokens: int = 0
    sequence: int = 0
