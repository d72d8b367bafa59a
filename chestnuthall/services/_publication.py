"""Publishes and promotes configuration documents."""

from collections.abc import Callable
from dataclasses import replace

from chestnuthall.core.configuration import (
    Draft,
    PromotionPolicy,
    PromotionVerdict,
    StoredRevision,
    TrialEvidence,
    decide_promotion,
    promotion_draft,
)
from chestnuthall.core.results import OBJECT_CONFLICT, Failure
from chestnuthall.services._fleet_view import FleetView
from chestnuthall.services._revisions import (
    RaceLost,
    RevisionAccepted,
    RevisionRepository,
)

TokenMaker = Callable[[], str]


class ConfigurationPublisher:
    """Publishes and promotes revisions on behalf of operators."""

    def __init__(
        self, revisions: RevisionRepository, fleet: FleetView, make_token: TokenMaker
    ) -> None:
        self._revisions = revisions
        self._fleet = fleet
        self._make_token = make_token

    async def publish(
        self,
        draft: Draft,
        base: StoredRevision | None,
        expected_revision: int | None = None,
    ) -> RevisionAccepted | RaceLost | Failure:
        """Make a draft the next revision and announce it to the instances.

        The instances are listed before the write, so that a store outage
        right after the acceptance does not delay the announcement. Nothing is
        announced unless the write is known to have been accepted.
        """
        if _is_other_revision(base, expected_revision):
            if base is None:
                reason = f"{draft.environment} has no document in force"
                return OBJECT_CONFLICT.with_reason(reason)
            return self._revisions.race_lost(base.record, draft.text)
        listed = await self._fleet.list_entry_instances()
        outcome = await self._revisions.accept(draft, base)
        if not isinstance(outcome, RevisionAccepted):
            return outcome
        if outcome.replaced_by is None and not isinstance(listed, Failure):
            await self._fleet.announce(listed, outcome.stored_text)
            outcome = replace(outcome, instances=listed)
        # Recorded after the announcement, which an outage of the store must not
        # delay. The next writer adds the history entry if this write fails.
        await self._revisions.record_in_history(outcome.record)
        return outcome

    def draft(
        self, environment: str, text: str, digest: str, author: str, reason: str
    ) -> Draft:
        """Return a draft with a new write token."""
        return Draft(
            environment=environment,
            digest=digest,
            text=text,
            author=author,
            reason=reason,
            write_token=self._make_token(),
        )

    async def promote(
        self,
        evidence: TrialEvidence | None,
        production_name: str,
        policy: PromotionPolicy,
        author: str,
        reason: str,
        *,
        wanted_digest: str = "",
        override_reason: str = "",
    ) -> RevisionAccepted | RaceLost | PromotionVerdict | Failure:
        """Publish the trial document in production if the policy allows it."""
        production = await self._revisions.in_force(production_name)
        if isinstance(production, Failure):
            return production
        verdict = decide_promotion(
            evidence,
            None if production is None else production.record,
            policy,
            wanted_digest=wanted_digest,
            override_reason=override_reason,
        )
        if evidence is None or not verdict.is_allowed:
            return verdict
        draft = promotion_draft(
            evidence,
            production_name,
            author,
            reason,
            self._make_token(),
            override_reason if verdict.missing else "",
        )
        return await self.publish(draft, production)


def _is_other_revision(base: StoredRevision | None, expected: int | None) -> bool:
    if expected is None:
        return False
    return (0 if base is None else base.record.revision) != expected
