"""The gateway: the role that serves a deployment on the users' platform."""

from ._run import run_gateway

__all__ = ["run_gateway"]
