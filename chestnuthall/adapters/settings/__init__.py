"""The settings file of one instance: JSON with comments."""

from chestnuthall.adapters.settings._models import (
    InstanceSettings,
    LimitSettings,
    StatsdSettings,
    read_settings,
)

__all__ = ["InstanceSettings", "LimitSettings", "StatsdSettings", "read_settings"]
