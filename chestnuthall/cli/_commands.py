"""Registration of commands with the examples of their docstrings."""

import re
from collections.abc import Callable
from inspect import cleandoc
from typing import Any

from cyclopts import App

_EXAMPLES = re.compile(r"^Examples\n-+\n(.*?)(?=\n\n\w[^\n]*\n-+\n|\Z)", re.M | re.S)


def format_examples(function: Callable[..., Any]) -> str:
    """Return the examples of a docstring as a Markdown block for the help.

    Cyclopts shows the text and the parameters of a docstring, but not its
    examples.
    """
    found = _EXAMPLES.search(cleandoc(function.__doc__ or ""))
    if found is None:
        return ""
    lines = (line.strip() for line in found.group(1).splitlines())
    return "Examples:\n\n```\n" + "\n".join(line for line in lines if line) + "\n```"


def add_command(app: App, function: Callable[..., Any], name: str = "") -> None:
    """Add a command, by default under the name of the function."""
    app.command(
        function,
        name=name or function.__name__,
        help_epilogue=format_examples(function),
    )
