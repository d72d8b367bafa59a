"""Leaves that replicas announce in their answers, and their exchange with peers."""

import logging
from typing import Protocol

from chestnuthall.core.drains import (
    DrainDetected,
    DrainRegistry,
    DrainSettings,
    DrainSignal,
)
from chestnuthall.core.model import LeaveNotice
from chestnuthall.core.quarantine import INCARNATION_MARK
from chestnuthall.ports import Clock, Metrics

_log = logging.getLogger(__name__)

# Each message to a peer carries a notice until it expires.
N_TRANSMISSIONS_MAX = 1_000_000


class LeaveDirectory(Protocol):
    """Replicas by name, as they register themselves."""

    def incarnation_of(self, replica_name: str) -> int | None:
        """Return the last known incarnation of a replica, or None if unknown."""
        ...

    def announce_leave(self, replica_name: str, incarnation: int) -> bool:
        """Stop new calls to a leaving replica; return False if the leave was known."""
        ...


class LeaveExchange:
    """Applies announced leaves to the directory, and selects notices for peers.

    A leave belongs to one incarnation of a replica and is final for it, so that a
    notice never takes back what an instance knows.
    """

    def __init__(
        self,
        directory: LeaveDirectory,
        clock: Clock,
        metrics: Metrics,
        drain_ms: float,
        origin_name: str = "",
    ) -> None:
        self._directory = directory
        self._clock = clock
        self._metrics = metrics
        settings = DrainSettings(
            lifetimes_ms={DrainSignal.ANSWER: drain_ms},
            remaining_min_ms=0.0,
            n_transmissions_max=N_TRANSMISSIONS_MAX,
        )
        self._notices = DrainRegistry(settings, origin_name)

    def on_answer(self, notice: LeaveNotice) -> None:
        """Apply a leave that a replica announced to this instance."""
        self._apply(notice, "answer")

    def on_peer(self, notice: LeaveNotice) -> None:
        """Apply a leave that a peer knows."""
        self._apply(notice, "peer")

    def recent(self) -> tuple[LeaveNotice, ...]:
        """Return the leaves to name in a message to a peer."""
        notices = self._notices.select_notices(self._clock.now_ms())
        return tuple(_decode_name(notice.replica_name) for notice in notices)

    def _apply(self, notice: LeaveNotice, source: str) -> None:
        name = notice.replica_name
        incarnation = notice.incarnation
        if incarnation is None:
            incarnation = self._directory.incarnation_of(name)
        if incarnation is None:
            # The incarnation of an unregistered replica is the time of its start.
            incarnation = int(self._clock.wall_ms())
        if not self._directory.announce_leave(name, incarnation):
            return
        self._notices.handle(
            DrainDetected(
                self._clock.now_ms(),
                self._clock.wall_ms(),
                f"{name}{INCARNATION_MARK}{incarnation}",
                DrainSignal.ANSWER,
            )
        )
        self._metrics.count(f"leaves.{source}")
        _log.info(
            "replica announced its leave",
            extra={"replica": name, "incarnation": incarnation, "source": source},
        )


def _decode_name(marked_name: str) -> LeaveNotice:
    name, _, incarnation = marked_name.rpartition(INCARNATION_MARK)
    return LeaveNotice(name, int(incarnation))
