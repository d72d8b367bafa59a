"""Logs and counts what requests end with."""

import logging
from functools import singledispatchmethod

from chestnuthall.core.model import Answer, Refusal
from chestnuthall.core.results import INTERNAL_ERROR, ResultCode
from chestnuthall.ports import Metrics
from chestnuthall.services._burn import BurnRecorder
from chestnuthall.services._configuration import ConfigurationKeeper
from chestnuthall.services._decision_log import outcome_fields

_log = logging.getLogger(__name__)

# A class that the document does not know stands in no metric name, since
# callers could otherwise make up any number of names.
UNKNOWN_CLASS_NAME = "unknown"


class OutcomeRecorder:
    """Takes each outcome once; the text of a query appears nowhere."""

    def __init__(
        self,
        burn: BurnRecorder,
        metrics: Metrics,
        configuration: ConfigurationKeeper,
    ) -> None:
        self._burn = burn
        self._configuration = configuration
        self._metrics = metrics

    def record(self, outcome: Answer | Refusal) -> None:
        """Log and count one outcome."""
        account = outcome.account
        result = ResultCode(account.result_code).name.lower()
        class_name = self._known_class(account.class_name)
        self._metrics.count(f"outcomes.{class_name}.{result}")
        self._burn.record(outcome)
        self._write(outcome)

    def _known_class(self, class_name: str) -> str:
        in_force = self._configuration.in_force
        if in_force is None or in_force.document.find_class(class_name) is None:
            return UNKNOWN_CLASS_NAME
        return class_name

    @singledispatchmethod
    def _write(self, outcome: Answer | Refusal) -> None:
        raise TypeError(f"not an outcome: {type(outcome).__name__}")

    @_write.register
    def _(self, outcome: Answer) -> None:
        # The fields are put together only if they are written, because answers
        # come at the full rate of requests.
        if _log.isEnabledFor(logging.DEBUG):
            _log.debug("request answered", extra=outcome_fields(outcome.account))

    @_write.register
    def _(self, outcome: Refusal) -> None:
        fields = outcome_fields(outcome.account)
        if outcome.failure.kind is INTERNAL_ERROR:
            _log.error("request failed", extra=fields)
        else:
            _log.info("request refused", extra=fields)
