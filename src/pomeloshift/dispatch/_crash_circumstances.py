"""What is known of a run under which an engine crashed."""

import attrs


@attrs.frozen
class CrashCircumstances:
    """How a crash of an engine cut the runs with one prompt part.

    ``age_s`` is the time in seconds from the first to the last event of the run that
    had sent events for the longest, 0 before the second event. ``is_trial`` is set if
    one of them tried a quarantined part.
    """

    age_s: float = 0.0
    is_trial: bool = False

    def merge(self, other: "CrashCircumstances") -> "CrashCircumstances":
        """Returns what both know; merging is commutative."""
        return CrashCircumstances(
            max(self.age_s, other.age_s), self.is_trial or other.is_trial
        )
