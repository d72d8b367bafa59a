"""Tests that an encoded ledger partition fits the store's limit per value.

Guards against an estimate below the encoded size and against a partition that
accepts claims until the store refuses to write it.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chestnuthall.adapters.documents import JsonPartitionCodec
from chestnuthall.core.claims import (
    EMPTY_PARTITION,
    ClaimDecision,
    KeyClaim,
    LedgerSettings,
    add_claims,
    entry_size_bytes,
)

CODEC = JsonPartitionCodec()
WALL_MS = 1_800_000_000_000.123456


def make_claims(keys):
    return tuple(KeyClaim(key, f"{n:016x}", WALL_MS) for n, key in enumerate(keys))


@settings(derandomize=True, database=None, max_examples=200)
@given(st.lists(st.text(min_size=1, max_size=128), unique=True, max_size=8))
def test_size_is_bounded_by_estimate(keys):
    """The estimate that bounds a partition must not be below its real size."""
    partition = add_claims(
        EMPTY_PARTITION, make_claims(keys), LedgerSettings(), WALL_MS
    )[0]
    text = CODEC.encode(partition)
    assert len(text.encode()) <= 64 + sum(entry_size_bytes(key) for key in keys)
    assert CODEC.decode(text) == partition


@pytest.mark.parametrize(
    ("character", "length", "n_kept"),
    [
        pytest.param("k", 8, 6_000, id="short-keys-limited-by-count"),
        pytest.param("k", 128, 4_807, id="long-keys-limited-by-size"),
        pytest.param('"', 128, None, id="escaped"),
        pytest.param("\U0001f600", 128, None, id="emoji"),
    ],
)
def test_full_partition_fits_the_store(character, length, n_kept):
    """Claims beyond the limit of bytes or of entries must be refused as ``FULL``."""
    keys = [f"{n:06d}".ljust(length, character) for n in range(8_000)]
    partition, decisions = add_claims(
        EMPTY_PARTITION, make_claims(keys), LedgerSettings(), WALL_MS
    )
    assert len(CODEC.encode(partition).encode()) <= 1024 * 1024
    assert len(partition.entries) <= 6_000
    assert n_kept in (None, len(partition.entries))
    n_full = list(decisions.values()).count(ClaimDecision.FULL)
    assert n_full == 8_000 - len(partition.entries) > 0
