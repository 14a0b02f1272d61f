"""A whole deployment in one process."""

from ._run import run_demo

__all__ = ["run_demo"]
