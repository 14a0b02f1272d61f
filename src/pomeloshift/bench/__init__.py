"""Benchmarks of the decision cores in virtual time."""
