"""Client of the operators' HTTP interface of instances."""

from chestnuthall.adapters.instances._client import HttpInstanceAdmin

__all__ = ["HttpInstanceAdmin"]
