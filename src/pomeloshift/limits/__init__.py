"""Limits of workspaces, fair queueing and the retry budget."""
