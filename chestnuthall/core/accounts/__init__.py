"""Explanations of one request, or of the order of two, in plain sentences."""

from chestnuthall.core.accounts._explain import (
    Confidence,
    Explanation,
    Verdict,
    explain_one,
    explain_two,
)

__all__ = ["Confidence", "Explanation", "Verdict", "explain_one", "explain_two"]
