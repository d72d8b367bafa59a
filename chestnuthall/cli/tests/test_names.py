"""Guards against docs/logs.md and docs/metrics.md missing names of the code.

Fails when a log event or a metric is added, renamed or removed without its page, or
when a page lists a name that the code does not use.
"""

import ast
import re
from pathlib import Path

import pytest

import chestnuthall
from chestnuthall.core.model import DecisionEvent

PACKAGE = Path(chestnuthall.__file__).parent
DOCS = PACKAGE.parent / "docs"
LOG_METHODS = {"debug", "info", "warning", "error", "exception"}
METRIC_METHODS = {"count", "gauge", "timing"}


def _method_calls():
    for path in PACKAGE.rglob("*.py"):
        if "tests" in path.parts or "standins" in path.parts:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
                yield node.func, node.args


def _name_pattern(argument):
    """Return a name with <> in place of each computed segment."""
    if isinstance(argument, ast.Constant):
        return str(argument.value)
    segments = getattr(argument, "values", ())
    return "".join(
        str(item.value) if isinstance(item, ast.Constant) else "<>" for item in segments
    )


def _event_names():
    for function, arguments in _method_calls():
        owner = ast.unparse(function.value)
        is_log = owner == "_log" or owner.startswith("logging.getLogger")
        if is_log and function.attr in LOG_METHODS:
            yield _name_pattern(arguments[0]).replace(" ", "_")

    for event in DecisionEvent:
        yield event.text.replace(" ", "_")


def _metric_names():
    yield "metrics.dropped"
    for function, arguments in _method_calls():
        is_metrics = ast.unparse(function.value).endswith("metrics")
        if is_metrics and function.attr in METRIC_METHODS:
            yield _name_pattern(arguments[0])


def _documented_names(page):
    rows = re.findall(r"^\| `([^`]+)` \|", (DOCS / page).read_text(), re.M)
    return [re.sub(r"<[^>]*>", "<>", row) for row in rows]


@pytest.mark.parametrize(
    ("page", "names"), [("logs.md", _event_names), ("metrics.md", _metric_names)]
)
def test_code_and_docs_have_the_same_names(page, names):
    documented = _documented_names(page)
    assert sorted(documented) == sorted(set(documented)), "a name is listed twice"
    assert set(documented) == set(names())
