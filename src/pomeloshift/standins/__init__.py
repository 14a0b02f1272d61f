"""Small stand-ins for the platform and for model engines."""
