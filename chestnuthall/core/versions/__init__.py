"""Versions of the store's objects, and the eras in which they were given out."""

from chestnuthall.core.versions._eras import (
    EraReading,
    EraTracker,
    EraVerdict,
    StatedEra,
    UnstatedEra,
)
from chestnuthall.core.versions._versions import (
    N_REVISION_BITS,
    era_of,
    is_of_earlier_era,
    make_version,
    revision_of,
)

__all__ = [
    "EraReading",
    "EraTracker",
    "EraVerdict",
    "N_REVISION_BITS",
    "StatedEra",
    "UnstatedEra",
    "era_of",
    "is_of_earlier_era",
    "make_version",
    "revision_of",
]
