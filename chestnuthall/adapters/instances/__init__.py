"""Client of the operators' HTTP interface of instances."""

from chestnuthall.adapters.instances._client import HttpInstanceAdminClient

__all__ = ["HttpInstanceAdminClient"]
