"""Entry point of the operators' tool."""

import sys

from cyclopts import App, CycloptsError

from chestnuthall import __version__
from chestnuthall.cli import (
    _account_commands,
    _burn_commands,
    _document_commands,
    _fleet_commands,
    _log_commands,
)
from chestnuthall.cli._exit_codes import ExitCode
from chestnuthall.cli._generated_docs import write_docs
from chestnuthall.cli._output import Output
from chestnuthall.cli._session import CommandError

_HELP = """Check, prove and promote environment documents, and watch the fleet.

A document is checked, put in trial, proven there, and promoted unchanged to
production. Every command takes `--json` for scripts and `--profile FILE` for
the address of the store and your name.
"""

_EXAMPLES = """Examples:

```
chestnuthall check environment.jsonc
chestnuthall trial environment.jsonc --reason "more for the crews"
chestnuthall promote --reason "proven over the weekend"
chestnuthall status
```"""


def make_app() -> App:
    """Return the application with all commands."""
    app = App(
        name="chestnuthall",
        help=_HELP,
        help_epilogue=_EXAMPLES,
        help_format="markdown",
        version=__version__,
        result_action="return_value",
        suppress_keyboard_interrupt=False,
    )
    _document_commands.register(app)
    _fleet_commands.register(app)
    _account_commands.register(app)
    _burn_commands.register(app)
    _log_commands.register(app)
    # A command for developers, which the help does not list.
    app.command(write_docs, show=False)
    app.register_install_completion_command(add_to_startup=False)
    return app


def main(tokens: list[str] | None = None) -> None:
    """Run one command and end the process with its exit code."""
    is_json = "--json" in (sys.argv[1:] if tokens is None else tokens)
    try:
        result = make_app()(tokens, exit_on_error=False, print_error=True)
    except CycloptsError:
        code = ExitCode.USAGE
    except CommandError as error:
        code = Output(is_json).report_error(error.code, str(error))
    except KeyboardInterrupt:
        code = Output(is_json).report_error(
            ExitCode.INTERRUPTED,
            "interrupted; a write that had begun may have taken effect, see"
            " `chestnuthall history`",
        )
    else:
        code = ExitCode.OK if result is None else ExitCode(result)
    raise SystemExit(int(code))
