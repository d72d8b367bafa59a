"""Exchange of the configurations in force through the feeds of the instances.

After its return from a copy the store may have an older configuration than its clients.
"""

import asyncio
from collections.abc import Sequence

from chestnuthall.core.results import STORE_UNAVAILABLE, Failure
from chestnuthall.ports import FeedAnswer, FeedClient, StoredObject, WatchBatch
from chestnuthall.services._configuration import ConfigurationManager

IN_FORCE_KIND = "configuration-in-force"
# Peers in the same region answer within some milliseconds.
FETCH_TIMEOUT_MS = 200.0


class InForceFeed:
    """The configuration in force, as a feed of one object."""

    def __init__(self, configuration: ConfigurationManager) -> None:
        self._configuration = configuration

    async def watch(
        self, after_version: int, timeout_ms: float
    ) -> FeedAnswer | Failure:
        """Return a failure: changes are watched in the store."""
        return STORE_UNAVAILABLE.with_reason("this feed has snapshots only")

    def snapshot(self) -> FeedAnswer:
        """Return the configuration in force; no object before the first one."""
        in_force = self._configuration.in_force
        if in_force is None:
            return FeedAnswer(WatchBatch(0, ()), float("inf"))
        stored = StoredObject(
            IN_FORCE_KIND,
            in_force.environment,
            in_force.revision,
            in_force.stored_text or in_force.text,
        )
        age_ms = self._configuration.confirmation_age_ms
        return FeedAnswer(WatchBatch(in_force.revision, (stored,)), age_ms)


class InForceFetcher:
    """Reads the newest configuration that the peers at some addresses have in force."""

    def __init__(self, client: FeedClient, addresses: Sequence[str]) -> None:
        self._client = client
        self._addresses = addresses

    async def fetch(self) -> tuple[str, ...]:
        """Return the text of the newest one; empty if no peer has any."""
        answers = await asyncio.gather(
            *(
                self._client.snapshot(address, IN_FORCE_KIND, FETCH_TIMEOUT_MS)
                for address in self._addresses
            )
        )
        found = [
            stored
            for answer in answers
            if not isinstance(answer, Failure)
            for stored in answer.batch.changed
        ]
        newest = max(found, key=lambda item: item.version, default=None)
        return () if newest is None else (newest.value,)
