"""The sidecar role: the only way to a backend server's engine."""
