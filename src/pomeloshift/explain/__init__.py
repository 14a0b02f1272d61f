"""Finds what several processes logged about one request, job or item."""

from ._explain import Explanation, explain
from ._log_line import LogLine, parse_line

__all__ = ["Explanation", "LogLine", "explain", "parse_line"]
