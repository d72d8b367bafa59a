"""Error-budget burn: causes, counts, their stored ledger and burn rates."""

from chestnuthall.core.burn._accumulator import BurnAccumulator
from chestnuthall.core.burn._causes import Cause, cause_of, counts_for_burn
from chestnuthall.core.burn._counts import (
    CAUSES,
    RESOLUTIONS,
    BurnCounts,
    SlotKey,
    Tally,
)
from chestnuthall.core.burn._ledger import (
    BurnDelta,
    BurnLedger,
    DeltaDecision,
    WriterMark,
    add_delta,
    decide_delta,
    flush_interval_ms,
    note_attempt,
    part_of,
)
from chestnuthall.core.burn._report import (
    FAST_RATE,
    SLOW_RATE,
    BurnReport,
    ClassBurn,
    SeriesPoint,
    WindowBurn,
    burn_report,
)

__all__ = [
    "CAUSES",
    "FAST_RATE",
    "RESOLUTIONS",
    "SLOW_RATE",
    "BurnAccumulator",
    "BurnCounts",
    "BurnDelta",
    "BurnLedger",
    "BurnReport",
    "Cause",
    "ClassBurn",
    "DeltaDecision",
    "SeriesPoint",
    "SlotKey",
    "Tally",
    "WindowBurn",
    "WriterMark",
    "add_delta",
    "burn_report",
    "cause_of",
    "counts_for_burn",
    "decide_delta",
    "flush_interval_ms",
    "note_attempt",
    "part_of",
]
