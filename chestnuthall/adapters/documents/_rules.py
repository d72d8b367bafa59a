"""Rules of the environment document that involve several fields.

The rules check the parsed JSON, whose single values may still be invalid. A rule is
skipped where a value that it needs has the wrong type.
"""

from collections.abc import Iterator
from typing import Any, Final

from chestnuthall.adapters.commentedjson import CrossCheck, RuleViolation

# Least share of a class as a fraction of the sum of all shares. A class below it
# would in practice never be served while the other classes have requests.
SHARE_RATIO_MIN: Final = 0.001
# Sums of decimal fractions such as 0.1 + 0.2 + 0.7 may exceed 1 by rounding.
ROUNDING_TOLERANCE: Final = 1e-9

_NamedObject = tuple[str, dict[str, Any]]


def _named_objects(value: Any, name: str) -> list[_NamedObject]:
    items = value.get(name) if isinstance(value, dict) else None
    if not isinstance(items, dict):
        return []
    return [(key, item) for key, item in items.items() if isinstance(item, dict)]


def _number_field(item: Any, name: str, default: float | None = None) -> float | None:
    value = item.get(name, default) if isinstance(item, dict) else default
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return float(value)


def check_shares(value: Any) -> Iterator[RuleViolation]:
    """Yield classes whose share is too small a fraction of all shares."""
    shares = {
        name: _number_field(item, "share")
        for name, item in _named_objects(value, "classes")
    }
    positive = {name: share for name, share in shares.items() if share and share > 0.0}
    share_min = sum(positive.values()) * SHARE_RATIO_MIN
    for name, share in positive.items():
        if share < share_min:
            rule = f"{share:g} is less than {SHARE_RATIO_MIN:g} of all shares"
            path = ("classes", name, "share")
            yield RuleViolation(path, rule, f"write at least {share_min:g}")


def check_deadlines(value: Any) -> Iterator[RuleViolation]:
    """Yield soft deadlines and objectives that do not fit the deadline."""
    for name, item in _named_objects(value, "classes"):
        deadline_ms = _number_field(item, "deadline_ms")
        if deadline_ms is None:
            continue
        soft_ms = _number_field(item, "soft_deadline_ms")
        if soft_ms is not None and soft_ms >= deadline_ms:
            yield RuleViolation(
                ("classes", name, "soft_deadline_ms"),
                f"{soft_ms:g} is not before the deadline of {deadline_ms:g} ms",
                f"write less than {deadline_ms:g}",
            )
        latency_ms = _number_field(item.get("objective"), "latency_ms")
        if latency_ms is not None and latency_ms > deadline_ms:
            yield RuleViolation(
                ("classes", name, "objective", "latency_ms"),
                f"{latency_ms:g} is after the deadline of {deadline_ms:g} ms",
                f"write at most {deadline_ms:g}",
            )


def check_soft_deadline_floors(value: Any) -> Iterator[RuleViolation]:
    """Yield classes whose soft deadline allows empty answers."""
    for name, item in _named_objects(value, "classes"):
        floor_ratio = _number_field(item, "coverage_floor_ratio", 0.0)
        if _number_field(item, "soft_deadline_ms") is not None and floor_ratio == 0.0:
            yield RuleViolation(
                ("classes", name, "soft_deadline_ms"),
                "with a coverage floor of 0, answers may be empty from this time on",
                "write a coverage_floor_ratio above 0, or no soft deadline",
            )


def check_reserved_ratios(value: Any) -> Iterator[RuleViolation]:
    """Yield groups whose reserved ratios add up to more than 1."""
    for name, item in _named_objects(value, "groups"):
        reserved = item.get("reserved_ratios")
        if not isinstance(reserved, dict):
            continue
        total = sum(_number_field(reserved, kind) or 0.0 for kind in reserved)
        if total > 1.0 + ROUNDING_TOLERANCE:
            yield RuleViolation(
                ("groups", name, "reserved_ratios"),
                f"the ratios add up to {total:g}",
                "let them add up to at most 1",
            )


def check_connections(value: Any) -> Iterator[RuleViolation]:
    """Yield groups with fewer connections than slots per replica."""
    for name, item in _named_objects(value, "groups"):
        n_slots = _number_field(item, "n_slots")
        n_connections = _number_field(item, "n_connections_max")
        if n_slots is None or n_connections is None or n_connections >= n_slots:
            continue
        yield RuleViolation(
            ("groups", name, "n_connections_max"),
            f"{n_connections:g} connections cannot fill {n_slots:g} slots",
            f"write at least {n_slots:g}",
        )


def check_extra_load(value: Any) -> Iterator[RuleViolation]:
    """Yield extra-load thresholds that are out of order."""
    policy = value.get("extra_load") if isinstance(value, dict) else None
    full_below = _number_field(policy, "full_below_ratio", 0.70)
    none_above = _number_field(policy, "none_above_ratio", 0.95)
    if full_below is None or none_above is None or full_below < none_above:
        return
    yield RuleViolation(
        ("extra_load", "full_below_ratio"),
        f"{full_below:g} is not below none_above_ratio, which is {none_above:g}",
        f"write less than {none_above:g}",
    )


CROSS_CHECKS: Final[tuple[CrossCheck, ...]] = (
    check_shares,
    check_deadlines,
    check_soft_deadline_floors,
    check_reserved_ratios,
    check_connections,
    check_extra_load,
)
