"""Evidence from trial, and the decision whether it permits a promotion."""

from dataclasses import dataclass
from enum import Enum

from chestnuthall.core.configuration._records import Draft, RevisionRecord


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceEvidence:
    """Status report of one live instance of trial.

    ``n_refused_by_code`` counts refusals since the revision came into force.
    """

    name: str
    digest: str
    revision: int
    since_wall_ms: float = 0.0
    n_requests: int = 0
    n_refused_by_code: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class TrialEvidence:
    """Evidence about the revision that is in force in trial.

    ``names_without_status`` are the instances without a status report.
    ``fast_burn_classes`` are the classes whose error budget burns fast.
    """

    record: RevisionRecord
    gathered_wall_ms: float
    instances: tuple[InstanceEvidence, ...] = ()
    names_without_status: tuple[str, ...] = ()
    fast_burn_classes: tuple[str, ...] = ()

    @property
    def instances_in_force(self) -> tuple[InstanceEvidence, ...]:
        """The instances that have exactly this document in force."""
        return tuple(
            item for item in self.instances if item.digest == self.record.digest
        )

    @property
    def n_requests(self) -> int:
        """Number of requests served under the document."""
        return sum(item.n_requests for item in self.instances_in_force)

    @property
    def n_refused(self) -> int:
        """Number of refusals under the document."""
        return sum(
            n for item in self.instances_in_force for _, n in item.n_refused_by_code
        )

    @property
    def in_force_ms(self) -> float:
        """Time for which all ``instances_in_force`` have had the document in force."""
        since = [item.since_wall_ms for item in self.instances_in_force]
        return max(0.0, self.gathered_wall_ms - max(since)) if since else 0.0

    def summary(self) -> str:
        """Return the evidence as one line of text, for the history."""
        return (
            f"in force on {len(self.instances_in_force)} of"
            f" {len(self.instances) + len(self.names_without_status)} instances"
            f" for {self.in_force_ms / 1000.0:.0f} s,"
            f" {self.n_requests} requests, {self.n_refused} refused,"
            f" fast burn: {', '.join(self.fast_burn_classes) or 'none'}"
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class PromotionPolicy:
    """Minimum evidence for a promotion without an override."""

    in_force_min_ms: float = 60_000.0
    n_requests_min: int = 1


class PromotionDecision(Enum):
    """Decision on a requested promotion."""

    PROMOTE = "promote"
    PROMOTE_OVERRIDDEN = "promote_overridden"
    ALREADY_IN_FORCE = "already_in_force"
    REFUSE_NO_TRIAL = "refuse_no_trial"
    REFUSE_OTHER_DIGEST = "refuse_other_digest"
    REFUSE_NO_EVIDENCE = "refuse_no_evidence"


@dataclass(frozen=True, slots=True)
class PromotionVerdict:
    """Decision on whether a trial document may be promoted.

    ``missing`` has one sentence for each missing piece of evidence.
    """

    decision: PromotionDecision
    missing: tuple[str, ...] = ()

    @property
    def is_allowed(self) -> bool:
        """Whether the promotion goes ahead."""
        return self.decision in (
            PromotionDecision.PROMOTE,
            PromotionDecision.PROMOTE_OVERRIDDEN,
        )


def decide_promotion(
    evidence: TrialEvidence | None,
    production: RevisionRecord | None,
    policy: PromotionPolicy,
    *,
    wanted_digest: str = "",
    override_reason: str = "",
) -> PromotionVerdict:
    """Decide whether trial's document may be promoted to production.

    ``wanted_digest`` is the digest of the operator's file; if given, it must be
    that of the document in force in trial. An override reason replaces missing
    evidence, but no other requirement.
    """
    if evidence is None:
        lack = "trial has no document in force"
        return PromotionVerdict(PromotionDecision.REFUSE_NO_TRIAL, (lack,))
    digest = evidence.record.digest
    if wanted_digest and wanted_digest != digest:
        lack = f"trial has digest {digest[:12]}, the file has {wanted_digest[:12]}"
        return PromotionVerdict(PromotionDecision.REFUSE_OTHER_DIGEST, (lack,))
    if production is not None and production.digest == digest:
        return PromotionVerdict(PromotionDecision.ALREADY_IN_FORCE)
    missing = _missing_evidence(evidence, policy)
    if not missing:
        return PromotionVerdict(PromotionDecision.PROMOTE)
    if override_reason.strip():
        return PromotionVerdict(PromotionDecision.PROMOTE_OVERRIDDEN, missing)
    return PromotionVerdict(PromotionDecision.REFUSE_NO_EVIDENCE, missing)


def _missing_evidence(
    evidence: TrialEvidence, policy: PromotionPolicy
) -> tuple[str, ...]:
    missing = []
    outdated_names = [
        item.name
        for item in evidence.instances
        if item not in evidence.instances_in_force
    ]
    if not evidence.instances_in_force:
        missing.append("no instance of trial has the document in force")
    elif outdated_names:
        missing.append(f"not in force on {', '.join(outdated_names)}")
    if evidence.names_without_status:
        missing.append(f"no status from {', '.join(evidence.names_without_status)}")
    if evidence.instances_in_force and evidence.in_force_ms < policy.in_force_min_ms:
        missing.append(
            f"in force for {evidence.in_force_ms / 1000.0:.0f} s;"
            f" {policy.in_force_min_ms / 1000.0:.0f} s are needed"
        )
    if evidence.n_requests < policy.n_requests_min:
        missing.append(
            f"{evidence.n_requests} requests were served under it;"
            f" {policy.n_requests_min} are needed"
        )
    for class_name in evidence.fast_burn_classes:
        missing.append(f"the error budget of class {class_name} burns fast")
    return tuple(missing)


def promotion_draft(
    evidence: TrialEvidence,
    production_name: str,
    author: str,
    reason: str,
    write_token: str,
    override_reason: str = "",
) -> Draft:
    """Return the draft of production's next revision, with trial's text unchanged."""
    source = evidence.record
    return Draft(
        environment=production_name,
        digest=source.digest,
        text=source.text,
        author=author,
        reason=reason,
        write_token=write_token,
        source_environment=source.environment,
        source_revision=source.revision,
        override_reason=override_reason,
        evidence=evidence.summary(),
    )
