"""Runs a gateway process."""

import sys
from random import Random, SystemRandom
from typing import Any

from ..errors import PomeloshiftError
from ..net import SystemClock
from ..net._logging import NonBlockingStream
from ..net._process import Role, run_process
from ..platform import load_platform_settings


def run_gateway(path: str = "") -> int:
    """Runs a gateway and returns the exit code.

    Without a path, an environment variable names the settings file.
    """
    try:
        settings = load_platform_settings(path)
    except PomeloshiftError as exc:
        print(f"error {exc.code.value}: {exc.message}", file=sys.stderr)
        return 1

    def make(reactor: Any) -> Role:
        from ._gateway import Gateway

        random = Random(SystemRandom().getrandbits(64))
        return Gateway(
            settings,
            reactor,
            SystemClock(),
            random,
            count_dropped_lines=lambda: stream.dropped,
        )

    stream: Any = NonBlockingStream(sys.stdout.fileno())
    return run_process(
        make,
        "INFO",
        with_tls=False,
        log_stream=stream,
        ends_on_second_signal=False,
    )
