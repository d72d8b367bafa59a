"""What the tool prints: tables and sentences, or JSON for scripts."""

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

from chestnuthall.cli._exits import ExitCode, exit_code_of
from chestnuthall.core.results import Failure

# Tables that go to a file or pipe are not folded to the 80 columns that the
# library assumes there.
N_COLUMNS_OF_FILES = 160


def _plain(value: object) -> object:
    if isinstance(value, Enum):
        return value.value
    return str(value)


class Output:
    """Prints results to standard output and everything else to standard error.

    With ``is_json`` a command prints one JSON value and no table.
    """

    def __init__(self, is_json: bool) -> None:
        self.is_json = is_json
        self.console = Console(file=sys.stdout, soft_wrap=True, highlight=False)
        if not self.console.is_terminal:
            self.console.width = max(self.console.width, N_COLUMNS_OF_FILES)
        self.errors = Console(file=sys.stderr, soft_wrap=True, highlight=False)

    def data(self, value: object) -> None:
        """Print a value as one line of JSON, if JSON is wanted."""
        if self.is_json:
            print(json.dumps(value, default=_plain), flush=True)

    def say(self, sentence: str) -> None:
        """Print a sentence, unless JSON is wanted."""
        if not self.is_json:
            self.console.print(escape(sentence))

    def table(
        self, title: str, columns: Sequence[str], rows: Sequence[Sequence[object]]
    ) -> None:
        """Print a table, unless JSON is wanted."""
        if not self.is_json:
            self.console.print(make_table(title, columns, rows))

    def fail(self, code: ExitCode, message: str, **facts: object) -> ExitCode:
        """Print an error and return its exit code."""
        if self.is_json:
            body = {"error": code.name.lower(), "message": message, **facts}
            print(json.dumps(body, default=_plain), flush=True)
        self.errors.print(escape(message), style="red")
        return code

    def fail_with(self, failure: Failure) -> ExitCode:
        """Print a failure and return its exit code."""
        code = exit_code_of(failure)
        message = f"{failure.kind.name} ({int(failure.code)}): {failure.reason}"
        return self.fail(code, message, result_code=int(failure.code))

    @contextmanager
    def progress(self, message: str) -> Iterator[Status]:
        """Show that the tool waits; only on a terminal."""
        with self.errors.status(message) as status:
            yield status


def make_table(
    title: str, columns: Sequence[str], rows: Sequence[Sequence[object]]
) -> Table:
    """Return a table; cells are plain text."""
    table = Table(title=title, title_justify="left")
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*(escape(str(cell)) for cell in row))
    return table


def shown_time(wall_ms: float) -> str:
    """Return a time in UTC; a dash for the time 0, which stands for none."""
    if wall_ms <= 0.0:
        return "-"
    return datetime.fromtimestamp(wall_ms / 1000.0, UTC).strftime("%Y-%m-%d %H:%M:%SZ")


def shown_duration(duration_ms: float) -> str:
    """Return a duration in its largest useful unit.

    Examples
    --------
    >>> shown_duration(1500.0), shown_duration(7_200_000.0)
    ('1.5 s', '2.0 h')
    """
    if duration_ms >= 3_600_000.0:
        return f"{duration_ms / 3_600_000.0:.1f} h"
    if duration_ms >= 60_000.0:
        return f"{duration_ms / 60_000.0:.1f} min"
    return f"{duration_ms / 1000.0:.1f} s"
