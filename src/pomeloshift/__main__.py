"""Runs the command line with ``python -m pomeloshift``."""

from .cli import main

main()
