"""Output of the tool: tables and text, or JSON for scripts."""

import json
import sys
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from datetime import UTC, datetime
from enum import Enum

from rich.console import Console
from rich.markup import escape
from rich.status import Status
from rich.table import Table

from chestnuthall.cli._exit_codes import ExitCode, exit_code_for
from chestnuthall.core.results import Failure

# Width of tables that are written to a file or pipe; rich would assume 80 columns
# there and fold the cells.
N_COLUMNS_WITHOUT_TERMINAL = 160


def _to_json(value: object) -> object:
    if isinstance(value, Enum):
        return value.value
    return str(value)


class Output:
    """Prints results to standard output and everything else to standard error.

    With ``is_json`` a command prints one JSON value and no tables.
    """

    def __init__(self, is_json: bool) -> None:
        self.is_json = is_json
        self.console = Console(file=sys.stdout, soft_wrap=True, highlight=False)
        if not self.console.is_terminal:
            self.console.width = max(self.console.width, N_COLUMNS_WITHOUT_TERMINAL)
        self.error_console = Console(file=sys.stderr, soft_wrap=True, highlight=False)

    def print_json(self, value: object) -> None:
        """Print a value as one line of JSON; nothing if ``is_json`` is false."""
        if self.is_json:
            print(json.dumps(value, default=_to_json), flush=True)

    def print_text(self, text: str) -> None:
        """Print a line of text; nothing if ``is_json`` is true."""
        if not self.is_json:
            self.console.print(escape(text))

    def print_table(
        self, title: str, columns: Sequence[str], rows: Sequence[Sequence[object]]
    ) -> None:
        """Print a table; nothing if ``is_json`` is true."""
        if not self.is_json:
            self.console.print(make_table(title, columns, rows))

    def report_error(self, code: ExitCode, message: str, **fields: object) -> ExitCode:
        """Print an error message and return the exit code.

        The fields are added to the JSON object.
        """
        if self.is_json:
            body = {"error": code.name.lower(), "message": message, **fields}
            print(json.dumps(body, default=_to_json), flush=True)
        self.error_console.print(escape(message), style="red")
        return code

    def report_failure(self, failure: Failure) -> ExitCode:
        """Print a failure as an error and return its exit code."""
        code = exit_code_for(failure)
        message = f"{failure.kind.name} ({int(failure.code)}): {failure.reason}"
        return self.report_error(code, message, result_code=int(failure.code))

    @contextmanager
    def progress(self, message: str) -> Iterator[Status]:
        """Show a spinner with a message while waiting; only on a terminal."""
        with self.error_console.status(message) as status:
            yield status


def make_table(
    title: str, columns: Sequence[str], rows: Sequence[Sequence[object]]
) -> Table:
    """Return a table whose cells are printed without markup."""
    table = Table(title=title, title_justify="left")
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*(escape(str(cell)) for cell in row))
    return table


def format_time(wall_ms: float) -> str:
    """Return a time in UTC, or a dash for 0, which means that there is none."""
    if wall_ms <= 0.0:
        return "-"
    return datetime.fromtimestamp(wall_ms / 1000.0, UTC).strftime("%Y-%m-%d %H:%M:%SZ")


def format_duration(duration_ms: float) -> str:
    """Return a duration in hours, minutes or seconds.

    Examples
    --------
    >>> format_duration(1500.0), format_duration(7_200_000.0)
    ('1.5 s', '2.0 h')
    """
    if duration_ms >= 3_600_000.0:
        return f"{duration_ms / 3_600_000.0:.1f} h"
    if duration_ms >= 60_000.0:
        return f"{duration_ms / 60_000.0:.1f} min"
    return f"{duration_ms / 1000.0:.1f} s"
