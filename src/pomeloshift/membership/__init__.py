"""Which instances are live, leaving, silent or gone."""
