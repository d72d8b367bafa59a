"""Guards the rate limit of decision lines and the precedence of requests in it.

Without the limit, logging would take a large fraction of the processing time. Without
the precedence, lines of ordinary requests would suppress those of failed ones.
"""

import logging
from dataclasses import replace

import pytest

from chestnuthall.core.model import (
    Account,
    AdmissionAccount,
    AdmissionRule,
    Answer,
    Coverage,
    Decision,
    DecisionEvent,
    FanOutAccount,
    Refusal,
)
from chestnuthall.core.results import (
    NO_REPLICA,
    ResultCode,
    RetryAdvice,
    RunState,
)
from chestnuthall.services import DECISION_LOGGER_NAME, DecisionLog
from chestnuthall.services._decision_log import N_LINES_BURST

ACCOUNT = Account(
    request_id="q",
    instance="i",
    zone="z",
    class_name="c",
    kind="scatter",
    group="g",
    arrived_wall_ms=0.0,
    admitted_wall_ms=0.0,
    finished_wall_ms=1.0,
    deadline_in_ms=1.0,
    admission=AdmissionAccount(AdmissionRule.IMMEDIATE, 0.0, 0),
    fan_out=FanOutAccount(),
    coverage_ratio=1.0,
    snapshot_id=1,
    configuration_revision=1,
    result_code=1000,
)
COVERAGE = Coverage(1, 1, 1, 1)
ORDINARY = Answer("q", ResultCode.OK, (), COVERAGE, 1, 1, ACCOUNT)
LATE = replace(ORDINARY, account=replace(ACCOUNT, is_late=True))
PARTIAL = replace(ORDINARY, result_code=ResultCode.OK_PARTIAL)
REFUSED = Refusal(
    "q", NO_REPLICA.with_reason("x"), RunState.NO, RetryAdvice.SAFE, 1, replace(ACCOUNT)
)
NINE_DECISIONS = [Decision(0.0, DecisionEvent.SETTLED, ("deadline", 1.0, 7))] * 9


class Clock:
    def now_ms(self):
        return 0.0


class Metrics:
    def count(self, name, n=1):
        pass


@pytest.fixture
def lines(caplog):
    logging.getLogger(DECISION_LOGGER_NAME).propagate = True
    caplog.set_level(logging.INFO, logger=DECISION_LOGGER_NAME)
    return lambda: caplog.records


# (case, outcome, lines logged for a hundred requests with nine decisions each)
OVERLOAD_CASES = [
    ("ordinary", ORDINARY, 240 + 76),
    ("late", LATE, 600),
    ("partial", PARTIAL, 600),
    ("refused", REFUSED, 600),
]


@pytest.mark.parametrize(
    ("outcome", "n_lines"),
    [case[1:] for case in OVERLOAD_CASES],
    ids=[case[0] for case in OVERLOAD_CASES],
)
def test_number_of_lines_is_limited(outcome, n_lines, lines):
    log = DecisionLog(Clock(), Metrics())
    for _ in range(100):
        log.request_ended(outcome, NINE_DECISIONS)
    assert len(lines()) <= N_LINES_BURST
    assert abs(len(lines()) - n_lines) <= 20
    assert log.budget.n_suppressed > 0


def test_failed_request_has_all_lines_after_many_ordinary_ones(lines):
    """Guards against lost lines of a failed request among many ordinary requests."""
    log = DecisionLog(Clock(), Metrics())
    for _ in range(500):
        log.request_ended(ORDINARY, NINE_DECISIONS)
    n_before = len(lines())
    log.request_ended(REFUSED, NINE_DECISIONS)
    assert len(lines()) - n_before == len(NINE_DECISIONS) + 1


def test_lines_are_logged_after_the_response(caplog):
    """Guards against log lines that delay the response.

    Those of a large search took 4 ms.
    """
    caplog.set_level(logging.INFO, DECISION_LOGGER_NAME)
    deferred = []
    log = DecisionLog(Clock(), Metrics(), deferred.append)
    log.request_ended(LATE, NINE_DECISIONS)
    assert log.budget.n_left == N_LINES_BURST
    (write,) = deferred
    write()
    assert log.budget.n_left == N_LINES_BURST - len(NINE_DECISIONS) - 1
