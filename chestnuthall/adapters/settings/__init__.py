"""Models of the settings file of an instance and of the profile of the tool."""

from chestnuthall.adapters.settings._models import (
    InstanceSettings,
    LimitSettings,
    StatsdSettings,
    check_addresses,
    read_settings,
)
from chestnuthall.adapters.settings._profile import (
    ToolProfile,
    check_environments,
    read_profile,
)

__all__ = [
    "InstanceSettings",
    "LimitSettings",
    "StatsdSettings",
    "ToolProfile",
    "check_addresses",
    "check_environments",
    "read_profile",
    "read_settings",
]
