"""The sidecar role: the only process that calls a backend server's engines."""
