"""Load patterns as checked documents, played in virtual time."""

from benchmarks.patterns._models import LoadPattern, read_pattern
from benchmarks.patterns._play import play
from benchmarks.patterns._table import ClassFigures, figures_by_class

__all__ = ["ClassFigures", "LoadPattern", "figures_by_class", "play", "read_pattern"]
