"""Command ``burn``, which reports service-level burn."""

import asyncio
from dataclasses import asdict
from pathlib import Path

from cyclopts import App

from chestnuthall.cli._burn_page import burn_page
from chestnuthall.cli._commands import add_command
from chestnuthall.cli._exit_codes import ExitCode
from chestnuthall.cli._output import Output
from chestnuthall.cli._session import CommandError, CommonOptions, Session, open_session
from chestnuthall.core.burn import BurnReport, ClassBurn
from chestnuthall.core.results import Failure

DEFAULT_OPTIONS = CommonOptions()


def register(app: App) -> None:
    """Add the command to the command line."""
    add_command(app, burn)


def burn(
    *,
    env: str | None = None,
    html: Path | None = None,
    alarm: bool = False,
    common: CommonOptions = DEFAULT_OPTIONS,
) -> ExitCode:
    """Report how fast each class uses its error budget, and why.

    A rate of 1 uses exactly the budget. Fast burn is a rate of at least 14.4
    over 1 h and 5 min; slow burn is at least 1 over 3 d and 6 h.

    Examples
    --------
        chestnuthall burn
        chestnuthall burn --env production --html burn.html
        chestnuthall burn --alarm --json

    Parameters
    ----------
    env
        Environment; trial by default.
    html
        Write the report as a page that opens without a network.
    alarm
        End with exit code 9 if a class burns fast.
    """
    session = open_session(common)
    environment = env or session.profile.trial_environment
    return asyncio.run(_burn(session, environment, html, alarm))


async def _burn(
    session: Session, environment: str, html: Path | None, alarm: bool
) -> ExitCode:
    output = session.output
    in_force = await session.revision_repository.in_force(environment)
    if isinstance(in_force, Failure):
        return output.report_failure(in_force)
    if in_force is None:
        message = f"{environment} has no document in force"
        return output.report_error(ExitCode.NOT_FOUND, message)
    report = await session.read_burn_report(in_force.record)
    if isinstance(report, Failure):
        return output.report_failure(report)
    if html is not None:
        _write_page(html, burn_page(report))
    output.print_json(asdict(report))
    _print_report(output, report)
    if html is not None:
        output.print_text(f"written to {html}")
    return ExitCode.BURNS_FAST if alarm and report.fast_classes else ExitCode.OK


def _write_page(path: Path, page: str) -> None:
    try:
        path.write_text(page, encoding="utf-8")
    except OSError as error:
        raise CommandError(f"cannot write {path}: {error.strerror}") from None


def _print_report(output: Output, report: BurnReport) -> None:
    rows: list[tuple[object, ...]] = []
    for item in report.classes:
        for window in item.windows:
            causes = ", ".join(f"{name} {n}" for name, n in window.n_bad_by_cause)
            rows.append(
                (
                    item.class_name,
                    window.window,
                    window.n_requests,
                    window.n_bad,
                    f"{window.rate:.2f}",
                    causes or "-",
                )
            )
    columns = ("class", "window", "requests", "bad", "burn rate", "by cause")
    title = f"service-level burn of {report.environment}"
    output.print_table(title, columns, rows)
    for item in report.classes:
        output.print_text(_summarise(item))


def _summarise(item: ClassBurn) -> str:
    state = "burns fast" if item.is_fast else "burns slowly" if item.is_slow else "ok"
    return (
        f"{item.class_name}: {state}; objective {item.objective.good_ratio:.2%} within"
        f" {item.objective.latency_ms:g} ms"
    )
