"""Emulators of the platform and of upstreams, for demos and tests."""
