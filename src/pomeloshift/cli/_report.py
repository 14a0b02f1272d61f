"""Commands that report on the deployment."""

from datetime import UTC, datetime

import msgspec

from ..report import BurnReport, render_html, render_text
from ._admin_client import AdminClient
from ._connect import run_command


class ReportCommands:
    """Reports on the deployment."""

    def burn(
        self, json: bool = False, html: str = "", entry: str = "", token: str = ""
    ) -> None:
        """Prints how fast the budgets of all objectives are spent.

        Args:
            json: print one JSON object in place of a table.
            html: file to write a page with plots to.
            entry: URL of an entry; POMELOSHIFT_ENTRY by default.
            token: operator's token; POMELOSHIFT_TOKEN by default.
        """
        run_command(lambda c: report_burn(c, json, str(html)), entry, token)


async def report_burn(client: AdminClient, as_json: bool, html: str) -> int:
    """Prints the report of all entries and writes its page."""
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
