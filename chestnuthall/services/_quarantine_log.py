"""Logs and counts the changes of the quarantine registry."""

import logging

from chestnuthall.core.quarantine import QuarantineRegistry, SuspicionState
from chestnuthall.ports import Clock, Metrics

_log = logging.getLogger(__name__)


class QuarantineLog:
    """Logs each change of a suspicion or quarantine with the losses behind it."""

    def __init__(
        self, registry: QuarantineRegistry, clock: Clock, metrics: Metrics
    ) -> None:
        self._registry = registry
        self._clock = clock
        self._metrics = metrics
        registry.add_listener(self._on_change)

    def _on_change(
        self, fingerprint: str, state: SuspicionState, is_local: bool
    ) -> None:
        self._metrics.count(f"quarantine_changes.{state.value}")
        suspicion = self._registry.find(fingerprint, self._clock.now_ms())
        names = () if suspicion is None else sorted(suspicion.replica_names)
        _log.info(
            "quarantine changed",
            extra={
                "fingerprint": fingerprint,
                "state": state.value,
                "is_local": is_local,
                "replicas": ",".join(names),
            },
        )
