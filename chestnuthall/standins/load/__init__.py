"""Load generator for running instances that checks every answer."""

from chestnuthall.standins.load._checker import AnswerChecker, Violation
from chestnuthall.standins.load._driver import LoadDriver, LoadPlan, LoadReport

__all__ = ["AnswerChecker", "LoadDriver", "LoadPlan", "LoadReport", "Violation"]
