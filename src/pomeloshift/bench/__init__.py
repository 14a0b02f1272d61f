"""Benches over the decision cores."""
