"""Differences between two environment documents, field by field."""

from collections.abc import Iterator
from dataclasses import asdict, dataclass

from chestnuthall.core.model import EnvironmentDocument


@dataclass(frozen=True, slots=True)
class Difference:
    """A field that differs; None stands for an absent field."""

    path: str
    old: str | None
    new: str | None

    def __str__(self) -> str:
        """Return the difference as one line of text."""
        if self.old is None:
            return f"{self.path}: added, {self.new}"
        if self.new is None:
            return f"{self.path}: removed, was {self.old}"
        return f"{self.path}: {self.old} -> {self.new}"


def differences(
    old: EnvironmentDocument | None, new: EnvironmentDocument
) -> tuple[Difference, ...]:
    """Return the fields in which two documents differ, sorted by path.

    Parsed documents are compared, so comments and formatting are ignored.
    """
    before = {} if old is None else dict(_flatten_document(old))
    after = dict(_flatten_document(new))
    return tuple(
        Difference(path, before.get(path), after.get(path))
        for path in sorted({*before, *after})
        if before.get(path) != after.get(path)
    )


def _flatten_document(document: EnvironmentDocument) -> Iterator[tuple[str, str]]:
    for caller_class in document.classes:
        yield from _flatten(f"classes.{caller_class.name}", asdict(caller_class))
    for group in document.groups:
        values = {**asdict(group), "reserved_ratios": dict(group.reserved_ratios)}
        yield from _flatten(f"groups.{group.name}", values)
    yield from _flatten("extra_load", asdict(document.extra_load))


def _flatten(path: str, values: dict[str, object]) -> Iterator[tuple[str, str]]:
    for name, value in values.items():
        if name == "name" or value is None or value == ():
            continue
        if isinstance(value, dict):
            yield from _flatten(f"{path}.{name}", value)
        else:
            yield f"{path}.{name}", str(value)
