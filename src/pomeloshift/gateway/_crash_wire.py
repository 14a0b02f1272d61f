"""The record of an engine's crash in the store."""

import hashlib

import msgspec

from ..dispatch import CrashCircumstances

DIGEST_BYTES = 8


class CrashWire(msgspec.Struct):
    """A crash during which a request, or one with a prompt part, was at the engine."""

    # Empty, and the incarnation 0, in a record that was lost and written again.
    engine: str
    incarnation: int
    # Time of the crash in Unix seconds.
    at: float
    # Of a part, its place in the prompt, and the run's circumstances.
    position: int = 0
    age_s: float = 0.0
    is_trial: bool = False

    @property
    def circumstances(self) -> CrashCircumstances:
        """What is known of the run that the crash cut."""
        return CrashCircumstances(self.age_s, self.is_trial)


_DECODER = msgspec.json.Decoder(CrashWire)


def decode_crash(value: bytes) -> CrashWire:
    """Returns the crash in a record's value; raises one of `UNREADABLE`."""
    return _DECODER.decode(value)


def crash_name(engine_id: str, incarnation: int) -> str:
    """Returns the name of an engine's crash, the same at all gateways."""
    name = f"{incarnation}/{engine_id}".encode()
    return hashlib.blake2b(name, digest_size=DIGEST_BYTES).hexdigest()
