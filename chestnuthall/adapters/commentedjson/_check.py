"""Validation of a text against a model and against rules over several fields."""

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
    parse_source,
)

Model = TypeVar("Model", bound=BaseModel)

# Longer values are truncated in messages, so that a problem stays one readable line.
N_SHOWN_CHARACTERS_MAX = 60


@dataclass(frozen=True, slots=True)
class RuleViolation:
    """Violation of a rule over several fields.

    ``rule`` says what is wrong and ``right`` how to correct it.
    """

    path: Path
    rule: str
    right: str


CrossCheck = Callable[[Any], Iterable[RuleViolation]]


def check_text(
    text: str,
    model_type: type[Model],
    file_name: str,
    cross_checks: Iterable[CrossCheck] = (),
) -> Model | tuple[Problem, ...]:
    """Validate a text and return its model, or all its problems in order of position.

    The rules over several fields check the parsed JSON instead of the model, so that
    their violations are reported together with fields that are invalid by themselves.
    """
    source = parse_source(text, file_name)
    if isinstance(source, Problem):
        return (source,)
    problems = [
        _duplicate_problem(source, path) for path in duplicate_paths(source.value)
    ]
    for check in cross_checks:
        for violation in check(source.value):
            problems.append(
                source.problem(violation.path, violation.rule, violation.right)
            )
    try:
        model = model_type.model_validate(source.value)
    except ValidationError as error:
        problems += [
            _validation_problem(source, model_type, item) for item in error.errors()
        ]
    if problems:
        return tuple(sorted(problems))
    return model


def describe_problems(problems: Iterable[Problem]) -> str:
    """Return one line per problem."""
    return "\n".join(str(problem) for problem in problems)


def _duplicate_problem(source: Source, path: Path) -> Problem:
    return source.problem(path, "the name is given twice", "keep one of the two")


def _truncated_repr(value: object) -> str:
    text = repr(value)
    if len(text) <= N_SHOWN_CHARACTERS_MAX:
        return text
    return text[:N_SHOWN_CHARACTERS_MAX] + "..."


# Remedies by type of pydantic error; the error's context fills the placeholders.
_REMEDIES = {
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


def _validation_problem(
    source: Source, model_type: type[BaseModel], item: Any
) -> Problem:
    path = tuple(step for step in item["loc"] if step != "[key]")
    kind = item["type"]
    if kind == "missing":
        return source.problem(path, "the field is missing", "add it")
    if kind == "extra_forbidden":
        return _unknown_field_problem(source, model_type, path)
    right = _REMEDIES.get(kind, "write a valid value").format_map(item.get("ctx", {}))
    is_key = item["loc"][-1:] == ("[key]",)
    subject = "the name" if is_key else "the value"
    text = _truncated_repr(item["input"])
    return source.problem(path, f"{subject} {text} breaks the rule", right)


def _unknown_field_problem(
    source: Source, model_type: type[BaseModel], path: Path
) -> Problem:
    names = _field_names(model_type, path[:-1])
    similar = get_close_matches(str(path[-1]), names, n=1, cutoff=0.5)
    alternatives = f"use one of {', '.join(names)}"
    right = f"did you mean {similar[0]!r}?" if similar else alternatives
    return source.problem(path, "there is no such field", right)


def _field_names(model_type: type[BaseModel], path: Path) -> list[str]:
    """Return the names of the fields of the model at a path."""
    current: Any = model_type
    for step in path:
        current = _child_annotation(current, step)
    model = _model_in(current)
    if model is None:
        return []
    return [field.alias or name for name, field in model.model_fields.items()]


def _child_annotation(annotation: Any, step: str | int) -> Any:
    """Return the annotation of a model's field, or the model in a container."""
    model = _model_in(annotation)
    is_model = isinstance(annotation, type) and issubclass(annotation, BaseModel)
    if model is not None and (is_model or step in model.model_fields):
        field = model.model_fields.get(str(step))
        return None if field is None else field.annotation
    return model


def _model_in(annotation: Any) -> type[BaseModel] | None:
    """Return the model that an annotation contains, as in a dictionary's values."""
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    for argument in get_args(annotation):
        found = _model_in(argument)
        if found is not None:
            return found
    return None
