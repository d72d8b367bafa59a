"""JSON encoding of the stored burn ledger."""

import json

from pydantic import BaseModel, ConfigDict, ValidationError

from chestnuthall.core.burn import (
    CAUSES,
    BurnCounts,
    BurnLedger,
    SlotKey,
    Tally,
    WriterState,
)
from chestnuthall.core.results import INTERNAL_ERROR, Failure

# Counts by class name, slot length in milliseconds and slot index. A tuple holds
# the number of requests, then the number of bad requests per cause in the order of
# ``CAUSES``; trailing zeros are left out.
_CountsByClass = dict[str, dict[int, dict[int, tuple[int, ...]]]]


class _BurnModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)

    n_writes: int
    n_writes_forgotten: int
    writers: dict[str, tuple[int, int]]
    classes: _CountsByClass


class JsonBurnCodec:
    """Encodes burn ledgers as compact JSON."""

    def encode(self, ledger: BurnLedger) -> str:
        """Return the text that is stored."""
        classes: _CountsByClass = {}
        for key, tally in ledger.counts.tallies.items():
            slots = classes.setdefault(key.class_name, {}).setdefault(key.slot_ms, {})
            slots[key.index] = _without_trailing_zeros((tally.n_requests, *tally.n_bad))
        writers = {
            name: (writer.sequence, writer.n_writes)
            for name, writer in ledger.writers.items()
        }
        body = {
            "n_writes": ledger.n_writes,
            "n_writes_forgotten": ledger.n_writes_forgotten,
            "writers": writers,
            "classes": classes,
        }
        return json.dumps(body, separators=(",", ":"))

    def decode(self, text: str) -> BurnLedger | Failure:
        """Return the ledger that a stored text encodes."""
        try:
            model = _BurnModel.model_validate_json(text)
        except ValidationError as error:
            return INTERNAL_ERROR.with_reason(
                f"the stored burn ledger is invalid: {error}"
            )
        tallies = {
            SlotKey(name, slot_ms, index): _decode_tally(numbers)
            for name, by_length in model.classes.items()
            for slot_ms, slots in by_length.items()
            for index, numbers in slots.items()
        }
        writers = {name: WriterState(*item) for name, item in model.writers.items()}
        return BurnLedger(
            BurnCounts(tallies), writers, model.n_writes, model.n_writes_forgotten
        )


def _without_trailing_zeros(numbers: tuple[int, ...]) -> tuple[int, ...]:
    n_kept = max((i + 1 for i, number in enumerate(numbers) if number), default=1)
    return numbers[:n_kept]


def _decode_tally(numbers: tuple[int, ...]) -> Tally:
    n_bad = numbers[1 : 1 + len(CAUSES)]
    padding = (0,) * (len(CAUSES) - len(n_bad))
    return Tally(numbers[0] if numbers else 0, n_bad + padding)
