"""Jobs, their items, and the state that is folded from the log."""
