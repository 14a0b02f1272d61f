"""Starts a role from a checkout whose libraries are in target/deps."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "src"))

from pomeloshift.gateway import run_gateway  # noqa: E402

sys.exit(run_gateway())
