"""Parsing of JSON with comments, with the position of each value."""

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
# A string is matched first, so that comment marks and commas inside it are kept.
_STRING_OR_COMMENT = re.compile(r'"(?:[^"\\\n]|\\.)*"|//[^\n]*|/\*.*?\*/', re.DOTALL)
_STRING_OR_TRAILING_COMMA = re.compile(r'"(?:[^"\\\n]|\\.)*"|,(?=\s*[}\]])')


class _Object(dict[str, Any]):
    """A JSON object with the names that occur in it more than once."""

    duplicates: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Source:
    """A parsed file; ``positions`` maps a JSON pointer to line and column."""

    file_name: str
    value: Any
    positions: dict[str, tuple[int, int]]

    def problem(self, path: Path, rule: str, right: str) -> Problem:
        """Return a problem at the position of a path or of the value enclosing it."""
        located = path
        while located and _json_pointer(located) not in self.positions:
            located = located[:-1]
        line, column = self.positions.get(_json_pointer(located), (1, 1))
        dotted_path = ".".join(str(step) for step in path)
        return Problem(self.file_name, line, column, dotted_path, rule, right)


def _blank_unless_string(match: re.Match[str]) -> str:
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
    without_comments = _STRING_OR_COMMENT.sub(_blank_unless_string, text)
    return _STRING_OR_TRAILING_COMMA.sub(_blank_unless_string, without_comments)


def _json_pointer(path: Path) -> str:
    tokens = (str(step).replace("~", "~0").replace("/", "~1") for step in path)
    return "".join(f"/{token}" for token in tokens)


def _make_object(pairs: list[tuple[str, Any]]) -> _Object:
    parsed = _Object(pairs)
    if len(parsed) < len(pairs):
        names = [name for name, _ in pairs]
        parsed.duplicates = tuple(sorted({n for n in names if names.count(n) > 1}))
    return parsed


class _NotANumber(ValueError):
    """Raised for NaN and the infinities, which Python's parser accepts as numbers."""


def _reject_constant(name: str) -> Any:
    raise _NotANumber(name)


def _constant_problem(blanked: str, file_name: str, name: str) -> Problem:
    without_strings = _STRING.sub(lambda match: " " * len(match.group()), blanked)
    text_before = without_strings[: without_strings.index(name)]
    line = text_before.count("\n") + 1
    column = len(text_before) - text_before.rfind("\n")
    rule = f"{name} is not a JSON number"
    return Problem(file_name, line, column, "", rule, "write a number in digits")


def parse_source(text: str, file_name: str) -> Source | Problem:
    """Parse a text, or return the problem if it is not JSON with comments."""
    blanked = blank_comments(text)
    try:
        value = jsonc.loads(
            blanked, object_pairs_hook=_make_object, parse_constant=_reject_constant
        )
        entries = json_source_map.calculate(blanked)
    except json.JSONDecodeError as error:
        right = "correct the JSON near this position"
        return Problem(file_name, error.lineno, error.colno, "", error.msg, right)
    except _NotANumber as error:
        return _constant_problem(blanked, file_name, str(error))
    except (ValueError, RecursionError, BaseError) as error:
        return Problem(file_name, 1, 1, "", str(error), "write valid JSON")
    positions = {}
    for pointer, entry in entries.items():
        start = entry.key_start or entry.value_start
        positions[pointer] = (start.line + 1, start.column + 1)
    return Source(file_name, value, positions)


def duplicate_paths(value: Any, path: Path = ()) -> Iterator[Path]:
    """Yield the path of each name that occurs more than once in its object."""
    if isinstance(value, _Object):
        yield from ((*path, name) for name in value.duplicates)
    if isinstance(value, dict):
        for name, item in value.items():
            yield from duplicate_paths(item, (*path, name))
    elif isinstance(value, list):
        for index, item in enumerate(value):
            yield from duplicate_paths(item, (*path, index))
