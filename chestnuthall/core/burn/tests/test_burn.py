"""Tests of the counts from which burn rates are computed, and of the alarms.

They guard against lost or doubled counts, wrong causes, and alarms that are
missed or outlast their cause.
"""

import pytest

from chestnuthall.core.burn import (
    RESOLUTIONS,
    BurnAccumulator,
    BurnCause,
    BurnCounts,
    BurnDelta,
    BurnLedger,
    DeltaDecision,
    add_delta,
    affects_burn,
    burn_cause,
    burn_report,
    decide_delta,
    mark_attempted,
)
from chestnuthall.core.burn._ledger import N_WRITERS_MAX
from chestnuthall.core.model import (
    Account,
    AdmissionAccount,
    AdmissionRule,
    CallerClass,
    EnvironmentDocument,
    FanOutAccount,
    Objective,
)
from chestnuthall.core.results import ResultCode

NOW_MS = 1_700_000_000_000.0
HOUR_MS = 3_600_000.0


def account(code, total_ms=100.0, queued_ms=0.0):
    return Account(
        request_id="r",
        instance="entry-0",
        zone="a",
        class_name="clerk",
        kind="search",
        group="desk",
        arrived_wall_ms=0.0,
        admitted_wall_ms=queued_ms,
        finished_wall_ms=total_ms,
        deadline_in_ms=1000.0,
        admission=AdmissionAccount(AdmissionRule.IMMEDIATE, queued_ms, 0),
        fan_out=FanOutAccount(),
        coverage_ratio=1.0,
        snapshot_id=1,
        configuration_revision=1,
        result_code=int(code),
    )


CAUSES = [
    (ResultCode.OK, 200.0, 0.0, None),
    (ResultCode.OK_PARTIAL, 200.0, 0.0, None),
    (ResultCode.OK, 201.0, 100.5, BurnCause.QUEUE),
    (ResultCode.OK, 201.0, 100.0, BurnCause.STRAGGLER),
    (ResultCode.QUEUE_FULL, 1.0, 0.0, BurnCause.SHED),
    (ResultCode.DEADLINE_PASSED, 1.0, 0.0, BurnCause.QUEUE),
    (ResultCode.COVERAGE_BELOW_FLOOR, 1.0, 0.0, BurnCause.COVERAGE),
    (ResultCode.CLAIM_UNSETTLED, 1.0, 0.0, BurnCause.STORE),
    (ResultCode.INTERNAL_ERROR, 1.0, 0.0, BurnCause.OTHER),
]


@pytest.mark.parametrize(("code", "total_ms", "queued_ms", "cause"), CAUSES)
def test_burn_cause(code, total_ms, queued_ms, cause):
    """Guards against burn that is attributed to the wrong cause."""
    found = burn_cause(account(code, total_ms, queued_ms), Objective(200.0, 0.99))
    assert found is cause
    assert affects_burn(code)


@pytest.mark.parametrize(
    "code", [ResultCode.INVALID_REQUEST, ResultCode.QUARANTINED, ResultCode.KEY_EXPIRED]
)
def test_fault_of_the_request_uses_no_budget(code):
    assert not affects_burn(code)


def counts_at(wall_ms, n_good, n_bad):
    pending = BurnAccumulator()
    for cause in [None] * n_good + [BurnCause.QUEUE] * n_bad:
        pending.add("clerk", cause, wall_ms)
    return pending.pop_counts()


# (case, age of the requests, number of good and bad ones, rates over 5m, 1h, 6h
# and 3d, fast alarm, slow alarm)
RATES = [
    ("all good", 0.0, 100, 0, [0.0, 0.0, 0.0, 0.0], False, False),
    ("fast", 0.0, 80, 20, [20.0, 20.0, 20.0, 20.0], True, True),
    ("slow only", 0.0, 95, 5, [5.0, 5.0, 5.0, 5.0], False, True),
    ("ended 1.2 h ago", 1.2 * HOUR_MS, 80, 20, [0.0, 0.0, 20.0, 20.0], False, True),
    ("ended 24 h ago", 24 * HOUR_MS, 80, 20, [0.0, 0.0, 0.0, 20.0], False, False),
    ("older than 3 days", 74 * HOUR_MS, 80, 20, [0.0, 0.0, 0.0, 0.0], False, False),
    ("fast clock", -2 * HOUR_MS, 80, 20, [0.0, 0.0, 0.0, 0.0], False, False),
    ("too few for an alarm", 0.0, 10, 9, [47.368] * 4, False, False),
]


@pytest.mark.parametrize(
    ("age_ms", "n_good", "n_bad", "rates", "is_fast", "is_slow"),
    [case[1:] for case in RATES],
    ids=[case[0] for case in RATES],
)
def test_rates_and_alarms(age_ms, n_good, n_bad, rates, is_fast, is_slow):
    """Guards against an alarm that is missed or outlasts its cause."""
    document = EnvironmentDocument(
        classes=(
            CallerClass(
                name="clerk",
                share=1.0,
                urgency=0,
                coverage_floor_ratio=0.0,
                deadline_ms=1000.0,
                objective=Objective(200.0, 0.99),
            ),
        ),
        groups=(),
    )
    counts = counts_at(NOW_MS - age_ms, n_good, n_bad)
    burn = burn_report("trial", 1, document, counts, NOW_MS).classes[0]
    assert [item.rate for item in burn.windows] == pytest.approx(rates, abs=0.001)
    assert (burn.is_fast, burn.is_slow) == (is_fast, is_slow)


def test_counts_are_bounded_and_a_wrong_clock_erases_little():
    """Guards against objects too large for the store, and against lost counts."""
    pending = BurnAccumulator()
    for minute in range(5 * 24 * 60):
        pending.add("clerk", None, NOW_MS + minute * 60_000.0)
    counts = BurnCounts().plus(pending.pop_counts())
    n_slots_max = sum(item.n_slots for item in RESOLUTIONS)
    assert len(counts.tallies) == n_slots_max
    counts = counts.plus(counts_at(NOW_MS + 1e11, 1, 0))
    assert len(counts.tallies) == n_slots_max
    for number in range(200):
        pending.add(f"class-{number}", None, NOW_MS)
    assert len(counts.plus(pending.pop_counts()).class_names()) <= 65


def test_delta_is_added_at_most_once():
    """Guards against counting a delta twice after its writer was evicted."""
    delta = BurnDelta("me", 1, counts_at(NOW_MS, 1, 0))
    assert decide_delta(BurnLedger(), delta) is DeltaDecision.ADD
    attempted = mark_attempted(BurnLedger(), delta)
    ledger = add_delta(BurnLedger(), attempted)
    assert decide_delta(ledger, attempted) is DeltaDecision.ALREADY_COUNTED
    later = BurnDelta("me", 2, delta.counts)
    assert decide_delta(ledger, later) is DeltaDecision.ADD
    for number in range(N_WRITERS_MAX):
        ledger = add_delta(ledger, BurnDelta(f"w{number}", 1, BurnCounts()))
    assert "me" not in ledger.writers
    assert decide_delta(ledger, attempted) is DeltaDecision.UNDETERMINED
    assert decide_delta(ledger, later) is DeltaDecision.ADD
