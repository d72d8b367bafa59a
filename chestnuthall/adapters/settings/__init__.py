"""The settings file of one instance: JSON with comments."""

from chestnuthall.adapters.settings._models import (
    InstanceSettings,
    LimitSettings,
    StatsdSettings,
    read_settings,
)
from chestnuthall.adapters.settings._profile import ToolProfile, read_profile

__all__ = [
    "InstanceSettings",
    "LimitSettings",
    "StatsdSettings",
    "ToolProfile",
    "read_profile",
    "read_settings",
]
