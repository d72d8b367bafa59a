"""Explanations in plain sentences of one account or of the order of two."""

from chestnuthall.core.accounts._explain import (
    Confidence,
    Explanation,
    Verdict,
    explain_one,
    explain_two,
)

__all__ = ["Confidence", "Explanation", "Verdict", "explain_one", "explain_two"]
