"""Decision whether an offered configuration replaces the one in force."""

from enum import Enum

from chestnuthall.core.model import Configuration


class RevisionDecision(Enum):
    """What to do with an offered configuration."""

    APPLY = "apply"
    KEEP = "keep"
    REJECT_OTHER_ENVIRONMENT = "reject_other_environment"
    REJECT_SAME_REVISION_OTHER_DIGEST = "reject_same_revision_other_digest"


def decide_revision(
    in_force: Configuration | None, offered: Configuration, environment: str
) -> RevisionDecision:
    """Decide on an offered configuration, whatever its source.

    Only a higher revision of the instance's own environment is applied. Stale
    reads, outdated copies from peers and repeated offers are ignored, so the
    revision in force never decreases.
    """
    if offered.environment != environment:
        return RevisionDecision.REJECT_OTHER_ENVIRONMENT
    if in_force is None or offered.revision > in_force.revision:
        return RevisionDecision.APPLY
    if offered.revision == in_force.revision and offered.digest != in_force.digest:
        return RevisionDecision.REJECT_SAME_REVISION_OTHER_DIGEST
    return RevisionDecision.KEEP
