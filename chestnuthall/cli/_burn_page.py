"""The burn report as one HTML page with plots drawn in SVG."""

from html import escape

from chestnuthall.cli._output import format_time
from chestnuthall.core.burn import FAST_RATE, BurnReport, ClassBurn, SeriesPoint

PLOT_WIDTH = 720
PLOT_HEIGHT = 120
MARGIN = 34
SERIES_DURATION_MS = 21_600_000.0

_STYLE = """
body { font: 15px/1.4 system-ui, sans-serif; margin: 2em; max-width: 60em;
       color: #222; background: #fff; }
table { border-collapse: collapse; margin: .5em 0 1em; }
th, td { border: 1px solid #bbb; padding: .2em .6em; text-align: right; }
th:first-child, td:first-child, td:last-child { text-align: left; }
.fast { color: #b00020; font-weight: bold; } .slow { color: #a05a00; }
svg { background: #fafafa; border: 1px solid #ccc; }
"""


def burn_page(report: BurnReport) -> str:
    """Return the page, which is self-contained: it loads no other resource."""
    sections = "\n".join(_section(item, report) for item in report.classes)
    title = f"Service-level burn of {escape(report.environment)}"
    return (
        '<!doctype html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>{title}</title><style>{_STYLE}</style></head><body>\n"
        f"<h1>{title}</h1>\n<p>Revision {report.revision}, generated"
        f" {format_time(report.generated_wall_ms)}. A burn rate of 1 uses exactly the"
        " error budget.</p>\n"
        f"{sections}\n</body></html>\n"
    )


def _section(item: ClassBurn, report: BurnReport) -> str:
    state = "fast" if item.is_fast else "slow" if item.is_slow else "ok"
    rows = "".join(
        f"<tr><td>{window.window}</td><td>{window.n_requests}</td>"
        f"<td>{window.n_bad}</td><td>{window.rate:.2f}</td>"
        f"<td>{escape(_format_causes(window.n_bad_by_cause))}</td></tr>"
        for window in item.windows
    )
    return (
        f'<h2>{escape(item.class_name)}: <span class="{state}">{state}</span></h2>\n'
        f"<p>Objective: {item.objective.good_ratio:.2%} within"
        f" {item.objective.latency_ms:g} ms.</p>\n"
        "<table><tr><th>window</th><th>requests</th><th>bad</th><th>burn rate</th>"
        f"<th>by cause</th></tr>{rows}</table>\n{_plot(item, report)}"
    )


def _format_causes(by_cause: tuple[tuple[str, int], ...]) -> str:
    return ", ".join(f"{name} {n}" for name, n in by_cause) or "-"


def _plot(item: ClassBurn, report: BurnReport) -> str:
    """Return a bar chart of the burn rate per 5 min over the last 6 h."""
    budget_ratio = 1.0 - item.objective.good_ratio
    rates = [_burn_rate(point, budget_ratio) for point in item.series]
    max_rate = max(1.0, *rates) if rates else 1.0
    start_ms = report.generated_wall_ms - SERIES_DURATION_MS
    bars = "".join(
        _bar(point, rate, max_rate, start_ms)
        for point, rate in zip(item.series, rates, strict=True)
    )
    width, height = PLOT_WIDTH + 2 * MARGIN, PLOT_HEIGHT + 2 * MARGIN
    name = escape(item.class_name)
    return (
        f'<svg width="{width}" height="{height}" role="img"'
        f' aria-label="burn rate of class {name} over six hours">'
        f"{bars}{_line(1.0, max_rate, '#a05a00')}"
        f"{_line(FAST_RATE, max_rate, '#b00020') if max_rate >= FAST_RATE else ''}"
        f'<text x="4" y="{MARGIN}" font-size="11">{max_rate:.1f}</text>'
        f'<text x="4" y="{MARGIN + PLOT_HEIGHT}" font-size="11">0</text>'
        f'<text x="{MARGIN}" y="{height - 10}" font-size="11">6 h ago</text>'
        f'<text x="{width - MARGIN - 22}" y="{height - 10}" font-size="11">now</text>'
        "</svg>"
    )


def _burn_rate(point: SeriesPoint, budget_ratio: float) -> float:
    if point.n_requests == 0:
        return 0.0
    return point.n_bad / point.n_requests / budget_ratio


def _bar(point: SeriesPoint, rate: float, max_rate: float, start_ms: float) -> str:
    position = (point.start_wall_ms - start_ms) / SERIES_DURATION_MS
    x = MARGIN + max(0.0, min(1.0, position)) * PLOT_WIDTH
    height = rate / max_rate * PLOT_HEIGHT
    colour = "#b00020" if rate >= FAST_RATE else "#4477aa"
    tooltip = (
        f"{format_time(point.start_wall_ms)}: {point.n_bad} of {point.n_requests} bad"
    )
    # An interval without bad requests is drawn 1 px high, to tell it from one
    # without requests.
    return (
        f'<rect x="{x:.1f}" y="{MARGIN + PLOT_HEIGHT - height:.1f}" width="8"'
        f' height="{max(1.0, height):.1f}" fill="{colour}">'
        f"<title>{tooltip}</title></rect>"
    )


def _line(rate: float, max_rate: float, colour: str) -> str:
    y = MARGIN + PLOT_HEIGHT - rate / max_rate * PLOT_HEIGHT
    return (
        f'<line x1="{MARGIN}" x2="{MARGIN + PLOT_WIDTH}" y1="{y:.1f}" y2="{y:.1f}"'
        f' stroke="{colour}" stroke-dasharray="4 3"/>'
        f'<text x="{MARGIN + PLOT_WIDTH + 3}" y="{y + 4:.1f}" font-size="11">'
        f"{rate:g}</text>"
    )
