"""A query tier that fans searches out over many shards.

The package is laid out as ports and adapters. :mod:`chestnuthall.core` contains the
decision logic, :mod:`chestnuthall.ports` the protocols that the services need,
:mod:`chestnuthall.services` the use cases and :mod:`chestnuthall.adapters` the
connections to networks, files and the clock.
"""

__version__ = "0.1.0"
