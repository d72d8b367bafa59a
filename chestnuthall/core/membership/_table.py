"""Table of the other instances, with the order in which they are probed."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from random import Random

from chestnuthall.core.membership._records import FleetCounts, MemberRecord, MemberState


class MemberCategory(Enum):
    """Category under which an instance is counted."""

    LIVE = "live"
    JOINING = "joining"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"
    NOT_COUNTED = "not_counted"


@dataclass(slots=True)
class Member:
    """One other instance.

    ``leaving_incarnation`` is the incarnation that was known when the platform's
    list first marked the instance as leaving; a later incarnation overrides the
    list.
    """

    record: MemberRecord
    is_listed: bool = False
    leaving_incarnation: int | None = None
    listed_address: str = ""
    suspect_until_ms: float = 0.0
    is_final_probe_sent: bool = False
    dead_since_ms: float = 0.0
    n_join_failures: int = 0
    counted_category: MemberCategory = MemberCategory.NOT_COUNTED

    @property
    def is_dead(self) -> bool:
        """Whether the instance was declared dead."""
        return self.record.state is MemberState.DEAD

    @property
    def is_joining(self) -> bool:
        """Whether the instance is known from the platform's list only."""
        return self.record.incarnation == 0 and not self.is_dead

    @property
    def is_leaving(self) -> bool:
        """Whether the instance or the platform's list announced that it leaves."""
        if self.record.state is MemberState.LEAVING:
            return True
        return self.leaving_incarnation == self.record.incarnation

    @property
    def category(self) -> MemberCategory:
        """The category under which the instance counts now."""
        if self.is_dead:
            return (
                MemberCategory.UNREACHABLE
                if self.is_listed
                else MemberCategory.NOT_COUNTED
            )
        if self.is_leaving:
            return MemberCategory.LEAVING
        return MemberCategory.JOINING if self.is_joining else MemberCategory.LIVE

    @property
    def probe_address(self) -> str:
        """Address to probe; for a dead instance the list may have a newer one."""
        if self.is_dead and self.listed_address:
            return self.listed_address
        return self.record.address


class MemberTable:
    """All other instances, their counts, and the order of probes."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._members: dict[str, Member] = {}
        self._order: list[str] = []
        self._n_probed = 0
        self._n_by_category: Counter[MemberCategory] = Counter()

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members.values())

    def get(self, name: str) -> Member | None:
        """Return an instance by name, or None."""
        return self._members.get(name)

    def add(self, member: Member) -> None:
        """Add an instance at a random position of the current probe round."""
        name = member.record.name
        self._members[name] = member
        index = self._random.randint(self._n_probed, len(self._order))
        self._order.insert(index, name)
        self.recount(member)

    def remove(self, name: str) -> None:
        """Remove an instance."""
        member = self._members.pop(name)
        self._n_by_category[member.counted_category] -= 1

    def active(self) -> list[Member]:
        """Return the instances that are not dead."""
        return [member for member in self if not member.is_dead]

    def next_target(self) -> Member | None:
        """Return the next instance to probe; each is probed once per round."""
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
        unreachable = [member for member in self if member.is_dead and member.is_listed]
        return self._random.choice(unreachable) if unreachable else None

    def helpers(self, target_name: str, n: int) -> list[Member]:
        """Return up to ``n`` random live instances that can probe a target."""
        candidates = [
            member
            for member in self
            if member.record.state is MemberState.ALIVE
            and not member.is_joining
            and member.record.name != target_name
        ]
        return self._random.sample(candidates, min(n, len(candidates)))

    def recount(self, member: Member) -> None:
        """Update the counts after a change that may affect an instance's category."""
        category = member.category
        if category is not member.counted_category:
            self._n_by_category[member.counted_category] -= 1
            self._n_by_category[category] += 1
            member.counted_category = category

    def counts(self, is_self_leaving: bool) -> FleetCounts:
        """Return the counts, including this instance."""
        n = self._n_by_category
        return FleetCounts(
            n[MemberCategory.LIVE] + (not is_self_leaving),
            n[MemberCategory.JOINING],
            n[MemberCategory.LEAVING] + is_self_leaving,
            n[MemberCategory.UNREACHABLE],
        )
