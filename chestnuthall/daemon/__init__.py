"""The daemon ``chestnuthalld``, which runs one entry instance."""

from chestnuthall.daemon._instance import EntryInstance
from chestnuthall.daemon._main import main

__all__ = ["EntryInstance", "main"]
