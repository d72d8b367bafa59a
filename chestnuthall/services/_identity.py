"""Identity of an instance."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class InstanceIdentity:
    """Name, peer address and availability zone of this instance."""

    name: str
    peer_address: str
    zone: str
