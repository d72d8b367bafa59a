"""Evidence from trial, and promotion to production."""

from dataclasses import asdict

from chestnuthall.cli._exit_codes import ExitCode
from chestnuthall.cli._output import Output, format_duration, format_time
from chestnuthall.cli._session import Session
from chestnuthall.cli._write_report import report_write_result
from chestnuthall.core.configuration import (
    PromotionDecision,
    PromotionVerdict,
    TrialEvidence,
    decide_promotion,
)
from chestnuthall.core.results import Failure


async def gather_evidence(session: Session) -> TrialEvidence | Failure | None:
    """Return the evidence from trial; None if it has no document in force."""
    in_force = await session.revision_repository.in_force(
        session.profile.trial_environment
    )
    if in_force is None or isinstance(in_force, Failure):
        return in_force
    instances = await session.fleet.list_entry_instances()
    if isinstance(instances, Failure):
        return instances
    burn = await session.read_burn_report(in_force.record)
    if isinstance(burn, Failure):
        return burn
    return await session.fleet.gather_trial_evidence(
        in_force.record, instances, burn.fast_classes
    )


async def show_evidence(session: Session) -> ExitCode:
    """Print the evidence from trial and whether it allows a promotion."""
    output = session.output
    found = await gather_evidence(session)
    if isinstance(found, Failure):
        return output.report_failure(found)
    verdict = decide_promotion(found, None, session.promotion_policy)
    if found is None:
        return output.report_error(ExitCode.NOT_FOUND, verdict.missing[0])
    _print_evidence(output, found, verdict)
    return ExitCode.OK if verdict.is_allowed else ExitCode.NOT_PROVEN


def _print_evidence(
    output: Output, found: TrialEvidence, verdict: PromotionVerdict
) -> None:
    record = found.record
    output.print_json(
        {
            "revision": record.revision,
            "digest": record.digest,
            "summary": found.summary(),
            "lacks": list(verdict.missing),
            "instances": [asdict(item) for item in found.instances],
            "silent": list(found.names_without_status),
            "fast_burn": list(found.fast_burn_classes),
        }
    )
    rows = [
        (
            item.name,
            "yes"
            if item in found.instances_in_force
            else f"no, revision {item.revision}",
            format_time(item.since_wall_ms),
            item.n_requests,
            ", ".join(f"{name} {n}" for name, n in item.n_refused_by_code) or "none",
        )
        for item in found.instances
    ]
    rows += [(name, "no answer", "-", "-", "-") for name in found.names_without_status]
    title = f"{record.environment} revision {record.revision} by {record.author or '-'}"
    columns = ("instance", "in force", "since", "requests", "refused")
    output.print_table(title, columns, rows)
    output.print_text(
        f"in force for {format_duration(found.in_force_ms)};"
        f" fast burn: {', '.join(found.fast_burn_classes) or 'none'}"
    )
    for missing_item in verdict.missing:
        output.print_text(f"lacking: {missing_item}")
    if not verdict.missing:
        output.print_text("this is enough to promote it")


async def promote(
    session: Session, reason: str, wanted_digest: str, override_reason: str
) -> ExitCode:
    """Promote the document in force in trial and print the outcome."""
    output = session.output
    found = await gather_evidence(session)
    if isinstance(found, Failure):
        return output.report_failure(found)
    with output.progress("writing to the store"):
        outcome = await session.publisher.promote(
            found,
            session.profile.production_environment,
            session.promotion_policy,
            session.profile.operator,
            reason,
            wanted_digest=wanted_digest,
            override_reason=override_reason,
        )
    if isinstance(outcome, PromotionVerdict):
        return _report_verdict(output, outcome)
    return await report_write_result(session, outcome)


def _report_verdict(output: Output, verdict: PromotionVerdict) -> ExitCode:
    if verdict.decision is PromotionDecision.ALREADY_IN_FORCE:
        output.print_json({"accepted": False, "already_in_force": True})
        output.print_text("production has exactly this document in force already")
        return ExitCode.OK
    lines = [
        "not promoted:",
        *(f"  {missing_item}" for missing_item in verdict.missing),
    ]
    if verdict.decision is PromotionDecision.REFUSE_NO_EVIDENCE:
        lines.append('to promote all the same: --override "reason for the history"')
    return output.report_error(
        ExitCode.NOT_PROVEN,
        "\n".join(lines),
        decision=verdict.decision.value,
        lacks=list(verdict.missing),
    )
