"""Commands that report on the deployment."""

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
        from ._burn import report_burn

        run_command(lambda c: report_burn(c, json, str(html)), entry, token)
