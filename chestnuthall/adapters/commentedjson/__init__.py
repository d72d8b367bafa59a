"""JSON with comments, checked by models, with errors that give positions."""

from chestnuthall.adapters.commentedjson._check import (
    BrokenRule,
    CrossCheck,
    check_text,
    describe_problems,
)
from chestnuthall.adapters.commentedjson._problems import Problem
from chestnuthall.adapters.commentedjson._source import (
    Source,
    blank_comments,
    read_source,
)

__all__ = [
    "BrokenRule",
    "CrossCheck",
    "Problem",
    "Source",
    "blank_comments",
    "check_text",
    "describe_problems",
    "read_source",
]
