"""Command that explains accounts."""

import asyncio
import sys
from pathlib import Path

from cyclopts import App

from chestnuthall.adapters.documents import read_account, read_environment
from chestnuthall.cli._commands import add_command
from chestnuthall.cli._exits import ExitCode
from chestnuthall.cli._output import Output
from chestnuthall.cli._session import (
    Common,
    UsageError,
    open_session,
    read_file,
)
from chestnuthall.core.accounts import Explanation, explain_one, explain_two
from chestnuthall.core.model import Account, EnvironmentDocument
from chestnuthall.core.results import Failure

COMMON = Common()


def register(app: App) -> None:
    """Add the command to the command line."""
    add_command(app, explain)


def explain(
    a: Path,
    b: Path | None = None,
    *,
    document: Path | None = None,
    env: str | None = None,
    common: Common = COMMON,
) -> ExitCode:
    """Explain one account, or which of two requests went first and why.

    An account is read from a file that holds the account, or the whole answer
    or refusal that carries it; `-` reads standard input. The order of two is
    judged by the document in force, or by `--document`, which needs no store.

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
        Judge by this document in place of the one in force.
    env
        Judge by the document in force of this environment; production by
        default.
    """
    output = Output(common.json)
    account_a = _account(a)
    if b is None:
        return _print(output, explain_one(account_a))
    account_b = _account(b)
    if document is not None:
        judged_by = _read_document(read_file(document), str(document))
        # A file has no revision; it is taken to be the one of the accounts.
        revision = account_a.configuration_revision
    else:
        judged_by, revision = asyncio.run(_in_force(common, env))
    return _print(output, explain_two(account_a, account_b, judged_by, revision))


def _account(path: Path) -> Account:
    text = sys.stdin.read() if str(path) == "-" else read_file(path)
    account = read_account(text)
    if isinstance(account, Failure):
        raise UsageError(f"{path}: {account.reason}", ExitCode.INVALID)
    return account


def _read_document(text: str, name: str) -> EnvironmentDocument:
    found = read_environment(text, name)
    if isinstance(found, Failure):
        raise UsageError(found.reason, ExitCode.INVALID)
    return found


async def _in_force(common: Common, env: str | None) -> tuple[EnvironmentDocument, int]:
    session = open_session(common)
    environment = env or session.profile.production_environment
    found = await session.book.in_force(environment)
    if isinstance(found, Failure):
        raise UsageError(f"the store: {found.reason}", ExitCode.UNAVAILABLE)
    if found is None:
        reason = f"{environment} has no document in force"
        raise UsageError(reason, ExitCode.NOT_FOUND)
    document = _read_document(found.record.text, environment)
    return document, found.record.revision


def _print(output: Output, explanation: Explanation) -> ExitCode:
    rule = explanation.rule
    output.data(
        {
            "sentences": list(explanation.sentences),
            "rule": None if rule is None else rule.value,
            "verdict": explanation.verdict.value,
            "confidence": explanation.confidence.value,
        }
    )
    for sentence in explanation.sentences:
        output.say(sentence)
    output.say(f"This is {explanation.confidence.value}.")
    return ExitCode.OK
