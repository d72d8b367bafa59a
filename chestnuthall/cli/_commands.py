"""Adds commands to the command line, with their examples in the help."""

import re
from collections.abc import Callable
from inspect import cleandoc
from typing import Any

from cyclopts import App

_EXAMPLES = re.compile(r"^Examples\n-+\n(.*?)(?=\n\n\w[^\n]*\n-+\n|\Z)", re.M | re.S)


def examples_of(function: Callable[..., Any]) -> str:
    """Return the examples of a doc comment as one block for the help.

    The library shows the text and the parameters of a doc comment, but drops
    its examples.
    """
    found = _EXAMPLES.search(cleandoc(function.__doc__ or ""))
    if found is None:
        return ""
    lines = (line.strip() for line in found.group(1).splitlines())
    return "Examples:\n\n```\n" + "\n".join(line for line in lines if line) + "\n```"


def add_command(app: App, function: Callable[..., Any], name: str = "") -> None:
    """Add a command; its name is the function's, unless one is given."""
    app.command(
        function,
        name=name or function.__name__,
        help_epilogue=examples_of(function),
    )
