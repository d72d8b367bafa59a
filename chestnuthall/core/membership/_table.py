"""What this instance knows about each other instance."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from random import Random

from chestnuthall.core.membership._records import FleetCounts, MemberRecord, MemberState


class Standing(Enum):
    """What an instance counts as."""

    LIVE = "live"
    JOINING = "joining"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"
    GONE = "gone"


@dataclass(slots=True)
class Member:
    """One other instance.

    ``leaving_incarnation`` is the incarnation at which the platform's list
    called it leaving; a later incarnation outdates the list.
    """

    record: MemberRecord
    is_listed: bool = False
    leaving_incarnation: int | None = None
    listed_address: str = ""
    suspect_until_ms: float = 0.0
    is_last_probe_sent: bool = False
    dead_since_ms: float = 0.0
    n_join_failures: int = 0
    counted_as: Standing = Standing.GONE

    @property
    def is_dead(self) -> bool:
        """Whether the instance does not answer and was removed."""
        return self.record.state is MemberState.DEAD

    @property
    def is_joining(self) -> bool:
        """Whether only the platform's list tells of the instance."""
        return self.record.incarnation == 0 and not self.is_dead

    @property
    def is_leaving(self) -> bool:
        """Whether the instance or the platform's list says that it leaves."""
        if self.record.state is MemberState.LEAVING:
            return True
        return self.leaving_incarnation == self.record.incarnation

    @property
    def standing(self) -> Standing:
        """What the instance counts as now."""
        if self.is_dead:
            return Standing.UNREACHABLE if self.is_listed else Standing.GONE
        if self.is_leaving:
            return Standing.LEAVING
        return Standing.JOINING if self.is_joining else Standing.LIVE

    @property
    def probe_address(self) -> str:
        """The address to try; the list may know a newer one of a dead instance."""
        if self.is_dead and self.listed_address:
            return self.listed_address
        return self.record.address


class MemberTable:
    """All other instances, with the order in which they are probed."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._members: dict[str, Member] = {}
        self._order: list[str] = []
        self._n_probed = 0
        self._n_by_standing: Counter[Standing] = Counter()

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members.values())

    def get(self, name: str) -> Member | None:
        """Return what is known about an instance, or None."""
        return self._members.get(name)

    def add(self, member: Member) -> None:
        """Add an instance at a random place of the probe order."""
        name = member.record.name
        self._members[name] = member
        index = self._random.randint(self._n_probed, len(self._order))
        self._order.insert(index, name)
        self.count_again(member)

    def remove(self, name: str) -> None:
        """Forget an instance."""
        member = self._members.pop(name)
        self._n_by_standing[member.counted_as] -= 1

    def running(self) -> list[Member]:
        """Return the instances that are not known to be dead."""
        return [member for member in self if not member.is_dead]

    def next_target(self) -> Member | None:
        """Return the next instance to probe; each comes once in a round."""
        for _ in range(2):
            while self._n_probed < len(self._order):
                member = self._members.get(self._order[self._n_probed])
                self._n_probed += 1
                if member is not None and not member.is_dead:
                    return member
            self._start_round()
        return None

    def _start_round(self) -> None:
        self._order = [member.record.name for member in self]
        self._random.shuffle(self._order)
        self._n_probed = 0

    def unreachable_target(self) -> Member | None:
        """Return a dead instance that the platform still lists, or None."""
        lost = [member for member in self if member.is_dead and member.is_listed]
        return self._random.choice(lost) if lost else None

    def helpers(self, target_name: str, n: int) -> list[Member]:
        """Return other instances that can probe a target."""
        able = [
            member
            for member in self
            if member.record.state is MemberState.ALIVE
            and not member.is_joining
            and member.record.name != target_name
        ]
        return self._random.sample(able, min(n, len(able)))

    def count_again(self, member: Member) -> None:
        """Note that what an instance counts as may have changed."""
        standing = member.standing
        if standing is not member.counted_as:
            self._n_by_standing[member.counted_as] -= 1
            self._n_by_standing[standing] += 1
            member.counted_as = standing

    def counts(self, is_self_leaving: bool) -> FleetCounts:
        """Return the counts, with this instance included."""
        n = self._n_by_standing
        return FleetCounts(
            n[Standing.LIVE] + (not is_self_leaving),
            n[Standing.JOINING],
            n[Standing.LEAVING] + is_self_leaving,
            n[Standing.UNREACHABLE],
        )
