"""Parses JSON of which some parts exceed the limits of a parser."""

import json
import re
from typing import Final

# Nesting up to which a value is kept; the parsers in use bear twice as much.
DEPTH_MAX = 100
# Digits up to which an integer is kept.
N_DIGITS_MAX = 20
_TOKEN: Final = re.compile(r'"(?:[^"\\]++|\\.)*+"|[\[\]{}]')


def parse_leniently(body: bytes) -> object:
    """Parse JSON; values that are nested too deeply or too large become ``None``.

    One value that its writer should not have written then hides no other. A string with
    bytes that are not UTF-8 gets lone surrogates, which no validated model accepts.
    Raises ``ValueError`` if the rest is no JSON.

    Examples
    --------
    >>> parse_leniently(b'{"a": 1, "b": ' + b'9' * 10_000 + b', "c": NaN}')
    {'a': 1, 'b': None, 'c': None}
    >>> nested = parse_leniently(b"[" * 10_000 + b"]" * 10_000)
    >>> str(nested) == "[" * DEPTH_MAX + "None" + "]" * DEPTH_MAX
    True
    """
    text = _prune(body.decode("utf-8", "surrogateescape"))
    parsed: object = json.loads(
        text, parse_int=_parse_int, parse_constant=lambda name: None
    )
    return parsed


def _parse_int(digits: str) -> int | None:
    return int(digits) if len(digits) <= N_DIGITS_MAX else None


def _prune(text: str) -> str:
    """Replace each value that is nested too deeply by ``null``."""
    kept: list[str] = []
    depth = 0
    kept_until = 0
    for token in _TOKEN.finditer(text):
        symbol = token.group()
        if symbol in "[{":
            depth += 1
            if depth == DEPTH_MAX + 1:
                kept.append(text[kept_until : token.start()])
        elif symbol in "]}":
            if depth == DEPTH_MAX + 1:
                kept.append("null")
                kept_until = token.end()
            depth -= 1
    if depth > DEPTH_MAX:
        return "".join(kept)
    return "".join([*kept, text[kept_until:]])
