"""Benchmarks of the decision cores and of the cost of control work."""
