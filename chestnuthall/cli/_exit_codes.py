"""Exit codes of the tool, as docs/cli.md lists them."""

from enum import IntEnum

from chestnuthall.core.results import (
    CONFIGURATION_REJECTED,
    NOT_FOUND,
    OBJECT_CONFLICT,
    OBJECT_NOT_FOUND,
    STORE_WRITE_UNKNOWN,
    Failure,
)


class ExitCode(IntEnum):
    """Exit code of the process."""

    OK = 0
    INVALID = 1
    USAGE = 2
    RACE_LOST = 3
    NOT_PROVEN = 4
    UNAVAILABLE = 5
    UNKNOWN_OUTCOME = 6
    NOT_IN_FORCE = 7
    NOT_FOUND = 8
    BURNS_FAST = 9
    INTERRUPTED = 130


MEANINGS = {
    ExitCode.OK: "Done.",
    ExitCode.INVALID: "The document, profile or account breaks a rule.",
    ExitCode.USAGE: "The command line is wrong, or a file cannot be read.",
    ExitCode.RACE_LOST: "Another operator's change came first; nothing was changed.",
    ExitCode.NOT_PROVEN: "Trial does not prove the document; nothing was promoted.",
    ExitCode.UNAVAILABLE: "The store or an instance did not answer; no change.",
    ExitCode.UNKNOWN_OUTCOME: "A write may have taken effect; look at the history.",
    ExitCode.NOT_IN_FORCE: "Accepted, but not in force everywhere in time.",
    ExitCode.NOT_FOUND: "There is no such document, instance or quarantine.",
    ExitCode.BURNS_FAST: "A class burns its error budget fast (`burn --alarm`).",
    ExitCode.INTERRUPTED: "Interrupted by Ctrl-C.",
}

_EXIT_CODES_BY_KIND = {
    CONFIGURATION_REJECTED: ExitCode.INVALID,
    NOT_FOUND: ExitCode.NOT_FOUND,
    OBJECT_CONFLICT: ExitCode.RACE_LOST,
    OBJECT_NOT_FOUND: ExitCode.NOT_FOUND,
    STORE_WRITE_UNKNOWN: ExitCode.UNKNOWN_OUTCOME,
}


def exit_code_for(failure: Failure) -> ExitCode:
    """Return the exit code of a failure."""
    return _EXIT_CODES_BY_KIND.get(failure.kind, ExitCode.UNAVAILABLE)
