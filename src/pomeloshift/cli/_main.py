"""Entry point of the command line."""

import sys

from .. import __version__
from ..errors import PomeloshiftError

EXIT_FAILURE = 1


def main() -> None:
    """Runs the command in the process's arguments."""
    if sys.argv[1:] in (["--version"], ["version"]):
        print(f"pomeloshift {__version__}")
        return
    import fire

    from ._commands import Commands

    try:
        fire.Fire(Commands(), name="pomeloshift")
    except PomeloshiftError as exc:
        print(f"error {exc.code.value}: {exc.message}", file=sys.stderr)
        sys.exit(EXIT_FAILURE)
