"""Runs each attempt of a request at most once and delivers its answer in order."""
