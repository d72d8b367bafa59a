"""Tests of when a request that lost replicas is suspected or quarantined.

They guard against a harmless request that is quarantined because a zone failed,
and against a crashing request that keeps running.
"""

import pytest

from chestnuthall.core.model import Replica
from chestnuthall.core.quarantine import QuarantineRegistry, QuarantineSettings


def lose_replica(registry, number, started_ms, now_ms, **options):
    replica = Replica(f"r{number}", f"r{number}", "z")
    registry.record_loss("f", replica, f"s{number}", now_ms, started_ms, **options)


def test_losses_of_a_cleared_wave_are_not_counted_again():
    """Connections that a failing zone closes one by one must not add up."""
    registry = QuarantineRegistry(QuarantineSettings())
    lose_replica(registry, 0, 0.0, 10.0)
    registry.clear("f", 20.0)
    for number in range(1, 6):
        lose_replica(registry, number, 5.0, 20.0 + number)
        assert not registry.is_suspected("f", 20.0 + number)
    lose_replica(registry, 9, 30.0, 40.0)
    assert registry.is_suspected("f", 40.0)


def test_request_that_crashes_only_some_runs_is_quarantined():
    """A request that crashes only some runs must not be cleared indefinitely."""
    registry = QuarantineRegistry(QuarantineSettings())
    for number in range(2):
        lose_replica(registry, number, 100.0 * number, 100.0 * number + 1.0)
        registry.clear("f", 100.0 * number + 50.0)
    lose_replica(registry, 2, 200.0, 201.0)
    assert registry.is_quarantined("f", 202.0)


@pytest.mark.parametrize(
    ("names", "expires_ms", "is_suspected", "is_quarantined"),
    [
        pytest.param(("r0",), 99.0, True, False, id="suspicion"),
        pytest.param(("r0", "r1"), 99.0, True, True, id="quarantine"),
        pytest.param(("r0",), 10.0, False, False, id="cleared"),
    ],
)
def test_merge_of_a_peer_notice(names, expires_ms, is_suspected, is_quarantined):
    """A peer's suspicion must not count as a quarantine, nor add up to one."""
    registry = QuarantineRegistry(QuarantineSettings())
    registry.merge("f", ("r7",), 99.0, 9.0)
    registry.merge("f", names, expires_ms, 10.0)
    assert registry.is_suspected("f", 11.0) == is_suspected
    assert registry.is_quarantined("f", 11.0) == is_quarantined
    assert not registry.try_reserve_probe("f", "other", 11.0)


def test_quarantine_expires():
    """A quarantined request must be admitted again after the quarantine time."""
    registry = QuarantineRegistry(QuarantineSettings(quarantine_ms=100.0))
    lose_replica(registry, 0, 0.0, 10.0)
    lose_replica(registry, 1, 11.0, 20.0, is_probe=True)
    assert registry.is_quarantined("f", 21.0)
    assert not registry.is_quarantined("f", 121.0)
