"""Prints the report on error-budget burn and writes it as an HTML page."""

from datetime import UTC, datetime

import msgspec

from ..report import BurnReport, render_html, render_text
from ._admin_client import AdminClient


async def report_burn(client: AdminClient, as_json: bool, html: str) -> int:
    """Prints the report over all entries and, unless ``html`` is empty, its page.

    ``html`` is the path of the page. Returns the exit code 0.
    """
    report = await client.call("GET", "/burn", BurnReport)
    if as_json:
        print(msgspec.json.encode(report).decode())
    else:
        print(render_text(report))
    if html:
        made_at = datetime.fromtimestamp(report.generated_at, UTC)
        text = render_html(report, f"Made on {made_at:%Y-%m-%d at %H:%M} UTC")
        with open(html, "w", encoding="utf-8") as file:
            file.write(text)
    return 0
