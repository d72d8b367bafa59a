"""Tests of the membership state machine.

They guard against messages that grow with the fleet, updates that are sent
forever, outdated updates that undo newer ones, and instances that are suspected
or removed because this process was paused.
"""

from random import Random

import pytest

from chestnuthall.core.membership import (
    DigestReceived,
    MemberRecord,
    MembershipMachine,
    MembershipSettings,
    MemberState,
    Probe,
    ProbeFailed,
    Tick,
)

SETTINGS = MembershipSettings()


def _record(index, state=MemberState.ALIVE, incarnation=1):
    return MemberRecord(f"entry-{index}", f"10.0.0.{index}:1", "z", state, incarnation)


@pytest.mark.parametrize("n_members", [3, 50, 1_900])
def test_message_size_and_retransmissions_are_bounded(n_members):
    """A burst of updates must not enlarge messages, and must stop being sent."""
    machine = MembershipMachine(_record(0), SETTINGS, Random(1))
    updates = tuple(_record(index) for index in range(2, n_members))
    machine.handle(DigestReceived(0.0, _record(1), updates))
    sizes = [len(machine.select_updates("entry-1")) for _ in range(20 * n_members)]
    assert max(sizes) <= SETTINGS.n_updates_max + 3
    # After the burst a message holds the own record and one other in turn.
    assert sizes[-1] == 2


@pytest.mark.parametrize(
    ("current", "offered", "is_replaced"),
    [
        (("alive", 5), ("suspect", 5), True),
        (("suspect", 5), ("alive", 5), False),
        (("suspect", 5), ("alive", 6), True),
        (("dead", 5), ("alive", 5), False),
        (("dead", 5), ("suspect", 5), False),
        (("dead", 5), ("alive", 6), True),
        (("alive", 6), ("dead", 5), False),
        (("leaving", 5), ("alive", 5), False),
    ],
)
def test_update_precedence(current, offered, is_replaced):
    """A delayed, outdated update must not restore an earlier state."""
    machine = MembershipMachine(_record(0), SETTINGS, Random(1))
    for state, incarnation in (current, offered):
        update = _record(2, MemberState(state), incarnation)
        machine.handle(DigestReceived(0.0, _record(1), (update,)))
    expected = offered if is_replaced else current
    found = machine.record_of("entry-2")
    assert (found.state.value, found.incarnation) == expected


@pytest.mark.parametrize(
    ("n_instances", "interval_ms"), [(2, 1_000), (64, 1_000), (1_900, 1_815)]
)
def test_probe_rate_is_independent_of_fleet_size(n_instances, interval_ms):
    """One probe is sent per interval, and the interval grows with the fleet."""
    assert SETTINGS.interval_ms(n_instances) == pytest.approx(interval_ms, abs=1)
    machine = MembershipMachine(_record(0), SETTINGS, Random(1))
    for index in range(1, n_instances):
        machine.handle(DigestReceived(0.0, _record(index), ()))
    n_probes = sum(len(machine.handle(Tick(step * 100.0))) for step in range(200))
    assert 20_000 / interval_ms <= n_probes <= 20_000 / interval_ms / 0.85 + 1


@pytest.mark.parametrize(
    ("pause_ms", "is_suspect_expected"),
    [(350.0, True), (450.0, False), (30_000.0, False)],
)
def test_probe_failure_after_a_pause_is_ignored(pause_ms, is_suspect_expected):
    """A probe that timed out during a pause must not raise a suspicion."""
    machine = MembershipMachine(_record(0), SETTINGS, Random(1))
    machine.handle(DigestReceived(0.0, _record(1), ()))
    (probe,) = machine.handle(Tick(0.0))
    assert isinstance(probe, Probe)
    machine.handle(ProbeFailed(pause_ms, probe.probe_id))
    is_suspected = machine.record_of("entry-1").state is MemberState.SUSPECT
    assert is_suspected is is_suspect_expected


def test_pause_extends_the_suspicion_timeout():
    """A suspected instance must keep its time to refute across a pause."""
    machine = MembershipMachine(_record(0), SETTINGS, Random(1))
    suspect = _record(2, MemberState.SUSPECT)
    machine.handle(DigestReceived(0.0, _record(1), (suspect,)))
    for now_ms in (0.0, 30_000.0, 30_100.0, 31_000.0, 31_100.0, 31_200.0):
        machine.handle(Tick(now_ms))
    assert machine.record_of("entry-2").state is MemberState.SUSPECT
