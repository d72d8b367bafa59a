"""A local fleet of processes on loopback, for demos and failure tests."""

from chestnuthall.standins.fleet._client import JsonClient, Reply
from chestnuthall.standins.fleet._fleet import FleetPlan, GroupPlan, LocalFleet
from chestnuthall.standins.fleet._process import ManagedProcess, free_port

__all__ = [
    "FleetPlan",
    "GroupPlan",
    "JsonClient",
    "LocalFleet",
    "ManagedProcess",
    "Reply",
    "free_port",
]
