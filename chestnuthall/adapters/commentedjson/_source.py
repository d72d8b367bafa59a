"""The text of a file with the position of each value."""

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import json_source_map
import jsonc
from json_source_map.errors import BaseError

from chestnuthall.adapters.commentedjson._problems import Problem

Path = tuple[str | int, ...]

_STRING = re.compile(r'"(?:[^"\\\n]|\\.)*"')
# A string is matched first, so that comment marks inside it are left alone.
_STRING_OR_COMMENT = re.compile(r'"(?:[^"\\\n]|\\.)*"|//[^\n]*|/\*.*?\*/', re.DOTALL)
_STRING_OR_TRAILING_COMMA = re.compile(r'"(?:[^"\\\n]|\\.)*"|,(?=\s*[}\]])')


class _Object(dict[str, Any]):
    """A JSON object that remembers the names that it had more than once."""

    duplicates: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Source:
    """A parsed file; ``positions`` maps a JSON pointer to line and column."""

    file_name: str
    value: Any
    positions: dict[str, tuple[int, int]]

    def problem(self, path: Path, rule: str, right: str) -> Problem:
        """Return a problem at a path, or at the nearest enclosing value."""
        known = path
        while known and _pointer(known) not in self.positions:
            known = known[:-1]
        line, column = self.positions.get(_pointer(known), (1, 1))
        shown = ".".join(str(part) for part in path)
        return Problem(self.file_name, line, column, shown, rule, right)


def _blank(match: re.Match[str]) -> str:
    text = match.group()
    if text.startswith('"'):
        return text
    return re.sub(r"[^\n]", " ", text)


def blank_comments(text: str) -> str:
    """Replace comments and trailing commas by spaces, so that positions stay.

    Examples
    --------
    >>> blank_comments('{"a": "//b", // c')
    '{"a": "//b",     '
    """
    without_comments = _STRING_OR_COMMENT.sub(_blank, text)
    return _STRING_OR_TRAILING_COMMA.sub(_blank, without_comments)


def _pointer(path: Path) -> str:
    parts = (str(part).replace("~", "~0").replace("/", "~1") for part in path)
    return "".join(f"/{part}" for part in parts)


def _make_object(pairs: list[tuple[str, Any]]) -> _Object:
    made = _Object(pairs)
    if len(made) < len(pairs):
        names = [name for name, _ in pairs]
        made.duplicates = tuple(sorted({n for n in names if names.count(n) > 1}))
    return made


class _NotANumber(ValueError):
    """Python's parser accepts three words that JSON does not know."""


def _refuse_constant(name: str) -> Any:
    raise _NotANumber(name)


def _problem_of_constant(blanked: str, file_name: str, name: str) -> Problem:
    without_strings = _STRING.sub(lambda found: " " * len(found.group()), blanked)
    before = without_strings[: without_strings.index(name)]
    line = before.count("\n") + 1
    column = len(before) - before.rfind("\n")
    rule = f"{name} is not a JSON number"
    return Problem(file_name, line, column, "", rule, "write a number in digits")


def read_source(text: str, file_name: str) -> Source | Problem:
    """Parse a text; a text that is not JSON with comments gives a problem."""
    blanked = blank_comments(text)
    try:
        value = jsonc.loads(
            blanked, object_pairs_hook=_make_object, parse_constant=_refuse_constant
        )
        entries = json_source_map.calculate(blanked)
    except json.JSONDecodeError as error:
        right = "mend the JSON near this place"
        return Problem(file_name, error.lineno, error.colno, "", error.msg, right)
    except _NotANumber as error:
        return _problem_of_constant(blanked, file_name, str(error))
    except (ValueError, RecursionError, BaseError) as error:
        return Problem(file_name, 1, 1, "", str(error), "write valid JSON")
    positions = {}
    for pointer, entry in entries.items():
        start = entry.key_start or entry.value_start
        positions[pointer] = (start.line + 1, start.column + 1)
    return Source(file_name, value, positions)


def duplicate_paths(value: Any, path: Path = ()) -> Iterator[Path]:
    """Yield the path of each name that an object has more than once."""
    if isinstance(value, _Object):
        yield from ((*path, name) for name in value.duplicates)
    if isinstance(value, dict):
        for name, item in value.items():
            yield from duplicate_paths(item, (*path, name))
    elif isinstance(value, list):
        for index, item in enumerate(value):
            yield from duplicate_paths(item, (*path, index))
