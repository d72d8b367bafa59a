"""Configuration revisions that only go forward, promotion and history."""

from chestnuthall.core.configuration._differences import Difference, differences
from chestnuthall.core.configuration._promotion import (
    InstanceEvidence,
    PromotionDecision,
    PromotionPolicy,
    PromotionVerdict,
    TrialEvidence,
    decide_promotion,
    promotion_draft,
)
from chestnuthall.core.configuration._records import (
    Draft,
    History,
    RevisionRecord,
    add_to_history,
    next_record,
)
from chestnuthall.core.configuration._revisions import (
    RevisionDecision,
    decide_revision,
)
from chestnuthall.core.configuration._settlement import (
    InForce,
    Settlement,
    decide_settlement,
)

__all__ = [
    "Difference",
    "Draft",
    "History",
    "InForce",
    "InstanceEvidence",
    "PromotionDecision",
    "PromotionPolicy",
    "PromotionVerdict",
    "RevisionDecision",
    "RevisionRecord",
    "Settlement",
    "TrialEvidence",
    "add_to_history",
    "decide_promotion",
    "decide_revision",
    "decide_settlement",
    "differences",
    "next_record",
    "promotion_draft",
]
