"""Sockets, clocks and clients that carry the cores' events and effects."""
