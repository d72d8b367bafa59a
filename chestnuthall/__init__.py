"""A query tier that fans searches out over many shards.

The package is laid out as ports and adapters. :mod:`chestnuthall.core` holds the
decisions, :mod:`chestnuthall.ports` the protocols that the services need,
:mod:`chestnuthall.services` the use cases and :mod:`chestnuthall.adapters` the
outside world.
"""

__version__ = "0.1.0"
