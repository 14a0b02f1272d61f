"""Commands that print reports on the deployment."""

from ._connect import run_command


class ReportCommands:
    """Prints reports on the deployment."""

    def burn(
        self, json: bool = False, html: str = "", entry: str = "", token: str = ""
    ) -> None:
        """Prints how fast the error budgets of all SLOs are spent.

        Args:
            json: print one JSON object instead of a table.
            html: path of an HTML file to write, with plots.
            entry: URL of an entry; POMELOSHIFT_ENTRY by default.
            token: operator's token; POMELOSHIFT_TOKEN by default.
        """
        from ._burn import report_burn

        run_command(lambda c: report_burn(c, json, str(html)), entry, token)
