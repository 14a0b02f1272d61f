"""Formats text in columns."""

from collections.abc import Sequence


def format_table(rows: Sequence[Sequence[str]]) -> str:
    """Returns rows as lines with aligned columns, as wide as the longest cell."""
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    )
