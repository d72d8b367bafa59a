"""Command ``explain``, which explains the accounts of requests."""

import asyncio
import sys
from pathlib import Path

from cyclopts import App

from chestnuthall.adapters.documents import read_account, read_environment
from chestnuthall.cli._commands import add_command
from chestnuthall.cli._exit_codes import ExitCode
from chestnuthall.cli._output import Output
from chestnuthall.cli._session import (
    CommandError,
    CommonOptions,
    open_session,
    read_file,
)
from chestnuthall.core.accounts import Explanation, explain_one, explain_two
from chestnuthall.core.model import Account, EnvironmentDocument
from chestnuthall.core.results import Failure

DEFAULT_OPTIONS = CommonOptions()


def register(app: App) -> None:
    """Add the command to the command line."""
    add_command(app, explain)


def explain(
    a: Path,
    b: Path | None = None,
    *,
    document: Path | None = None,
    env: str | None = None,
    common: CommonOptions = DEFAULT_OPTIONS,
) -> ExitCode:
    """Explain one account, or which of two requests went first and why.

    An account is read from a file with the account, or with the complete answer
    or refusal that contains it; `-` reads standard input. The order of two
    requests is explained under the document in force, or under the one of
    `--document`, which needs no store.

    Examples
    --------
        chestnuthall explain answer.json
        chestnuthall explain a.json b.json
        chestnuthall explain a.json b.json --document environment.jsonc

    Parameters
    ----------
    a
        First account.
    b
        Second account.
    document
        Use this document instead of the one in force.
    env
        Use the document in force in this environment; production by default.
    """
    output = Output(common.json)
    account_a = _read_account(a)
    if b is None:
        return _print_explanation(output, explain_one(account_a))
    account_b = _read_account(b)
    if document is not None:
        configuration = _read_document(read_file(document), str(document))
        # A file has no revision; the accounts' revision is assumed.
        revision = account_a.configuration_revision
    else:
        configuration, revision = asyncio.run(_read_in_force(common, env))
    return _print_explanation(
        output, explain_two(account_a, account_b, configuration, revision)
    )


def _read_account(path: Path) -> Account:
    text = sys.stdin.read() if str(path) == "-" else read_file(path)
    account = read_account(text)
    if isinstance(account, Failure):
        raise CommandError(f"{path}: {account.reason}", ExitCode.INVALID)
    return account


def _read_document(text: str, name: str) -> EnvironmentDocument:
    found = read_environment(text, name)
    if isinstance(found, Failure):
        raise CommandError(found.reason, ExitCode.INVALID)
    return found


async def _read_in_force(
    common: CommonOptions, env: str | None
) -> tuple[EnvironmentDocument, int]:
    session = open_session(common)
    environment = env or session.profile.production_environment
    found = await session.revision_repository.in_force(environment)
    if isinstance(found, Failure):
        raise CommandError(
            f"cannot read the document in force: {found.reason}", ExitCode.UNAVAILABLE
        )
    if found is None:
        reason = f"{environment} has no document in force"
        raise CommandError(reason, ExitCode.NOT_FOUND)
    document = _read_document(found.record.text, environment)
    return document, found.record.revision


def _print_explanation(output: Output, explanation: Explanation) -> ExitCode:
    rule = explanation.rule
    output.print_json(
        {
            "sentences": list(explanation.sentences),
            "rule": None if rule is None else rule.value,
            "verdict": explanation.verdict.value,
            "confidence": explanation.confidence.value,
        }
    )
    for sentence in explanation.sentences:
        output.print_text(sentence)
    output.print_text(f"This is {explanation.confidence.value}.")
    return ExitCode.OK
