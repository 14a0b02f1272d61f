"""The entry role: callers' interfaces in front of the fleet."""
