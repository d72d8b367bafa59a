"""Configuration revisions that only go forward."""

from chestnuthall.core.configuration._revisions import (
    RevisionDecision,
    decide_revision,
)

__all__ = ["RevisionDecision", "decide_revision"]
