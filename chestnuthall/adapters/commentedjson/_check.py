"""Checks of a text by a model and by rules over several fields."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from difflib import get_close_matches
from typing import Any, TypeVar, get_args

from pydantic import BaseModel, ValidationError

from chestnuthall.adapters.commentedjson._problems import Problem
from chestnuthall.adapters.commentedjson._source import (
    Path,
    Source,
    duplicate_paths,
    read_source,
)

Model = TypeVar("Model", bound=BaseModel)

# Longer values are cut in messages, so that an error stays one readable line.
N_SHOWN_CHARACTERS_MAX = 60


@dataclass(frozen=True, slots=True)
class BrokenRule:
    """A rule over several fields that a document breaks."""

    path: Path
    rule: str
    right: str


CrossCheck = Callable[[Any], Iterable[BrokenRule]]


def check_text(
    text: str,
    model_type: type[Model],
    file_name: str,
    cross_checks: Iterable[CrossCheck] = (),
) -> Model | tuple[Problem, ...]:
    """Return the model of a text, or all its problems in order of position.

    Rules over several fields run on the plain values, so that they are
    reported together with the fields that are wrong on their own.
    """
    source = read_source(text, file_name)
    if isinstance(source, Problem):
        return (source,)
    problems = [_duplicate(source, path) for path in duplicate_paths(source.value)]
    for check in cross_checks:
        for broken in check(source.value):
            problems.append(source.problem(broken.path, broken.rule, broken.right))
    try:
        model = model_type.model_validate(source.value)
    except ValidationError as error:
        problems += [
            _describe_error(source, model_type, item) for item in error.errors()
        ]
    if problems:
        return tuple(sorted(problems))
    return model


def describe_problems(problems: Iterable[Problem]) -> str:
    """Return one line per problem."""
    return "\n".join(str(problem) for problem in problems)


def _duplicate(source: Source, path: Path) -> Problem:
    return source.problem(path, "the name is given twice", "keep one of the two")


def _shown(value: object) -> str:
    text = repr(value)
    if len(text) <= N_SHOWN_CHARACTERS_MAX:
        return text
    return text[:N_SHOWN_CHARACTERS_MAX] + "..."


# What would be right, by type of pydantic error; filled from the error's context.
_RIGHT = {
    "greater_than": "write a number greater than {gt}",
    "greater_than_equal": "write a number of at least {ge}",
    "less_than": "write a number less than {lt}",
    "less_than_equal": "write a number of at most {le}",
    "string_pattern_mismatch": "write a text that matches {pattern}",
    "string_too_short": "write at least {min_length} characters",
    "string_too_long": "write at most {max_length} characters",
    "too_short": "give at least {min_length}",
    "literal_error": "write {expected}",
    "string_type": "write a text in double quotes",
    "float_type": "write a number",
    "float_parsing": "write a number",
    "int_type": "write a whole number",
    "int_parsing": "write a whole number",
    "int_from_float": "write a whole number",
    "bool_type": "write true or false",
    "bool_parsing": "write true or false",
    "dict_type": "write an object in braces",
    "model_type": "write an object in braces",
}


def _describe_error(source: Source, model_type: type[BaseModel], item: Any) -> Problem:
    path = tuple(part for part in item["loc"] if part != "[key]")
    kind = item["type"]
    if kind == "missing":
        return source.problem(path, "the field is missing", "add it")
    if kind == "extra_forbidden":
        return _unknown_field(source, model_type, path)
    right = _RIGHT.get(kind, "write a valid value").format_map(item.get("ctx", {}))
    is_key = item["loc"][-1:] == ("[key]",)
    subject = "the name" if is_key else "the value"
    shown = _shown(item["input"])
    return source.problem(path, f"{subject} {shown} breaks the rule", right)


def _unknown_field(source: Source, model_type: type[BaseModel], path: Path) -> Problem:
    names = _field_names(model_type, path[:-1])
    near = get_close_matches(str(path[-1]), names, n=1, cutoff=0.5)
    known = f"use one of {', '.join(names)}"
    right = f"did you mean {near[0]!r}?" if near else known
    return source.problem(path, "there is no such field", right)


def _field_names(model_type: type[BaseModel], path: Path) -> list[str]:
    """Return the names of the fields of the model at a path."""
    current: Any = model_type
    for part in path:
        current = _step_into(current, part)
    model = _model_in(current)
    if model is None:
        return []
    return [field.alias or name for name, field in model.model_fields.items()]


def _step_into(annotation: Any, part: str | int) -> Any:
    model = _model_in(annotation)
    is_model = isinstance(annotation, type) and issubclass(annotation, BaseModel)
    if model is not None and (is_model or part in model.model_fields):
        field = model.model_fields.get(str(part))
        return None if field is None else field.annotation
    return model


def _model_in(annotation: Any) -> type[BaseModel] | None:
    """Return the model that an annotation holds, such as a dictionary's values."""
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    for argument in get_args(annotation):
        found = _model_in(argument)
        if found is not None:
            return found
    return None
