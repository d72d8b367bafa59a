"""Fetches the configurations that peers have in force."""

import asyncio
from collections.abc import Callable, Sequence
from random import Random

from chestnuthall.core.results import Failure
from chestnuthall.ports import Clock, MemberUpdate, PeerTransport

N_PEERS_QUERIED = 5
FETCH_TIMEOUT_MS = 500.0
# Wait for the first peers: a starting instance reads the list of instances at the
# same time.
MEMBERS_WAIT_MS = 500.0
MEMBERS_INTERVAL_MS = 50.0


class PeerConfigurations:
    """Queries a sample of the known peers for the configuration in force."""

    def __init__(
        self,
        transport: PeerTransport,
        members: Callable[[], Sequence[MemberUpdate]],
        clock: Clock,
        random: Random,
    ) -> None:
        self._transport = transport
        self._members = members
        self._clock = clock
        self._random = random

    async def fetch(self) -> tuple[str, ...]:
        """Return the stored texts of the peers that have a configuration."""
        members = await self._wait_members()
        queried = self._random.sample(members, min(N_PEERS_QUERIED, len(members)))
        answers = await asyncio.gather(
            *(
                self._transport.fetch_configuration(peer.address, FETCH_TIMEOUT_MS)
                for peer in queried
            )
        )
        found = [item for item in answers if not isinstance(item, Failure)]
        return tuple(item.text for item in found if item.revision > 0)

    async def _wait_members(self) -> list[MemberUpdate]:
        ends_at_ms = self._clock.now_ms() + MEMBERS_WAIT_MS
        while not self._members() and self._clock.now_ms() < ends_at_ms:
            await self._clock.sleep_ms(MEMBERS_INTERVAL_MS)
        return list(self._members())
