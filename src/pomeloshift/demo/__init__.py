"""Runs a complete deployment in one process and checks its guarantees."""

from ._run import run_demo

__all__ = ["run_demo"]
