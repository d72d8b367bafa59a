"""Validation of JSON with comments; problems give line and column."""

from chestnuthall.adapters.commentedjson._check import (
    CrossCheck,
    RuleViolation,
    check_text,
    describe_problems,
)
from chestnuthall.adapters.commentedjson._problems import Problem
from chestnuthall.adapters.commentedjson._source import (
    Source,
    blank_comments,
    parse_source,
)

__all__ = [
    "RuleViolation",
    "CrossCheck",
    "Problem",
    "Source",
    "blank_comments",
    "check_text",
    "describe_problems",
    "parse_source",
]
