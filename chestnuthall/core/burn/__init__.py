"""Error-budget burn: causes, counts, their stored ledger and burn rates."""

from chestnuthall.core.burn._accumulator import BurnAccumulator
from chestnuthall.core.burn._causes import BurnCause, affects_burn, burn_cause
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
    WriterState,
    add_delta,
    decide_delta,
    flush_interval_ms,
    ledger_partition,
    mark_attempted,
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
    "BurnAccumulator",
    "BurnCause",
    "BurnCounts",
    "BurnDelta",
    "BurnLedger",
    "BurnReport",
    "CAUSES",
    "ClassBurn",
    "DeltaDecision",
    "FAST_RATE",
    "RESOLUTIONS",
    "SLOW_RATE",
    "SeriesPoint",
    "SlotKey",
    "Tally",
    "WindowBurn",
    "WriterState",
    "add_delta",
    "affects_burn",
    "burn_cause",
    "burn_report",
    "decide_delta",
    "flush_interval_ms",
    "ledger_partition",
    "mark_attempted",
]
