"""Benchmarks: decision cores in virtual time, control work in real processes."""
