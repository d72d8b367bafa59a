"""Guards the size of messages and the life of news."""

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
def test_messages_and_repeats_are_bounded(n_members):
    """A burst of news must fit the traffic of an instance, and must die out."""
    machine = MembershipMachine(_record(0), SETTINGS, Random(1))
    records = tuple(_record(index) for index in range(2, n_members))
    machine.handle(DigestReceived(0.0, _record(1), records))
    sizes = [len(machine.select_updates("entry-1")) for _ in range(20 * n_members)]
    assert max(sizes) <= SETTINGS.n_updates_max + 3
    # What is left is the own news and one other in turn.
    assert sizes[-1] == 2


@pytest.mark.parametrize(
    ("held", "offered", "is_replaced"),
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
def test_newer_news_wins(held, offered, is_replaced):
    """Old news that arrives late must not bring back an earlier state."""
    machine = MembershipMachine(_record(0), SETTINGS, Random(1))
    for state, incarnation in (held, offered):
        item = _record(2, MemberState(state), incarnation)
        machine.handle(DigestReceived(0.0, _record(1), (item,)))
    expected = offered if is_replaced else held
    found = machine.record_of("entry-2")
    assert (found.state.value, found.incarnation) == expected


@pytest.mark.parametrize(
    ("n_instances", "interval_ms"), [(2, 1_000), (64, 1_000), (1_900, 1_815)]
)
def test_probes_cost_the_same_at_any_size(n_instances, interval_ms):
    """One probe an interval, and a longer interval where messages are longer."""
    assert SETTINGS.interval_ms(n_instances) == pytest.approx(interval_ms, abs=1)
    machine = MembershipMachine(_record(0), SETTINGS, Random(1))
    for index in range(1, n_instances):
        machine.handle(DigestReceived(0.0, _record(index), ()))
    n_probes = sum(len(machine.handle(Tick(step * 100.0))) for step in range(200))
    assert 20_000 / interval_ms <= n_probes <= 20_000 / interval_ms / 0.85 + 1


@pytest.mark.parametrize(
    ("pause_ms", "is_condemned"), [(350.0, True), (450.0, False), (30_000.0, False)]
)
def test_answers_missed_in_a_pause_count_for_nothing(pause_ms, is_condemned):
    """A probe that timed out in a pause of this process proves nothing."""
    machine = MembershipMachine(_record(0), SETTINGS, Random(1))
    machine.handle(DigestReceived(0.0, _record(1), ()))
    (probe,) = machine.handle(Tick(0.0))
    assert isinstance(probe, Probe)
    machine.handle(ProbeFailed(pause_ms, probe.probe_id))
    is_suspected = machine.record_of("entry-1").state is MemberState.SUSPECT
    assert is_suspected is is_condemned


def test_a_pause_stops_the_time_of_a_suspicion():
    """A suspected instance must keep its time to answer across a pause."""
    machine = MembershipMachine(_record(0), SETTINGS, Random(1))
    suspect = _record(2, MemberState.SUSPECT)
    machine.handle(DigestReceived(0.0, _record(1), (suspect,)))
    for now_ms in (0.0, 30_000.0, 30_100.0, 31_000.0, 31_100.0, 31_200.0):
        machine.handle(Tick(now_ms))
    assert machine.record_of("entry-2").state is MemberState.SUSPECT
