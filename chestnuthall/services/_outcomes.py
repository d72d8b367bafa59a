"""Logs and counts the outcomes of requests."""

import logging
from functools import singledispatchmethod

from chestnuthall.core.model import Answer, Refusal
from chestnuthall.core.results import INTERNAL_ERROR, ResultCode
from chestnuthall.ports import Metrics
from chestnuthall.services._burn import BurnRecorder
from chestnuthall.services._configuration import ConfigurationManager
from chestnuthall.services._decision_log import outcome_fields

_log = logging.getLogger(__name__)

# Replaces, in metric names, a class that the document does not define. Otherwise
# callers could create any number of metrics.
UNKNOWN_CLASS_NAME = "unknown"


class OutcomeRecorder:
    """Logs and counts each outcome, without the text of the query."""

    def __init__(
        self,
        burn: BurnRecorder,
        metrics: Metrics,
        configuration: ConfigurationManager,
    ) -> None:
        self._burn = burn
        self._configuration = configuration
        self._metrics = metrics

    def record(self, outcome: Answer | Refusal) -> None:
        """Log and count one outcome."""
        account = outcome.account
        result = ResultCode(account.result_code).name.lower()
        class_name = self._metric_class_name(account.class_name)
        self._metrics.count(f"outcomes.{class_name}.{result}")
        self._burn.record(outcome)
        self._log_outcome(outcome)

    def _metric_class_name(self, class_name: str) -> str:
        in_force = self._configuration.in_force
        if in_force is None or in_force.document.find_class(class_name) is None:
            return UNKNOWN_CLASS_NAME
        return class_name

    @singledispatchmethod
    def _log_outcome(self, outcome: Answer | Refusal) -> None:
        raise TypeError(f"not an outcome: {type(outcome).__name__}")

    @_log_outcome.register
    def _(self, outcome: Answer) -> None:
        # The fields are built only if they are logged, because answers occur at the
        # full request rate.
        if _log.isEnabledFor(logging.DEBUG):
            _log.debug("request answered", extra=outcome_fields(outcome.account))

    @_log_outcome.register
    def _(self, outcome: Refusal) -> None:
        fields = outcome_fields(outcome.account)
        if outcome.failure.kind is INTERNAL_ERROR:
            _log.error("request failed", extra=fields)
        else:
            _log.info("request refused", extra=fields)
