"""Settings files of processes: JSON with comments, checked on reading."""
