"""A whole deployment in one process."""
