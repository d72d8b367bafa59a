"""Options common to all commands, and the services that commands use."""

import os
from dataclasses import dataclass
from pathlib import Path
from secrets import token_hex
from typing import Annotated, Any

from cyclopts import Parameter

from chestnuthall.adapters.clock import LoopClock
from chestnuthall.adapters.documents import (
    JsonBurnCodec,
    JsonRevisionCodec,
    read_environment,
    read_instance,
    read_partition_map,
)
from chestnuthall.adapters.instances import HttpInstanceAdminClient
from chestnuthall.adapters.objectapi import HttpObjectStore
from chestnuthall.adapters.settings import ToolProfile, read_profile
from chestnuthall.cli._exit_codes import ExitCode
from chestnuthall.cli._output import Output
from chestnuthall.core.burn import BurnReport, burn_report
from chestnuthall.core.configuration import PromotionPolicy, RevisionRecord
from chestnuthall.core.results import Failure
from chestnuthall.ports import InstanceSummary
from chestnuthall.services import (
    ConfigurationPublisher,
    FleetView,
    RevisionRepository,
    read_burn_counts,
)

PROFILE_VARIABLE = "CHESTNUTHALL_PROFILE"
PROFILE_DEFAULT = Path("chestnuthall.jsonc")


class CommandError(Exception):
    """Error that ends a command with a message and an exit code."""

    def __init__(self, message: str, code: ExitCode = ExitCode.USAGE) -> None:
        super().__init__(message)
        self.code = code


@Parameter(name="*")
@dataclass(frozen=True, slots=True, kw_only=True)
class CommonOptions:
    """Options common to all commands."""

    profile: Annotated[Path | None, Parameter(help="Profile file.")] = None
    "Profile file. Default: $CHESTNUTHALL_PROFILE, then ./chestnuthall.jsonc."
    store: str | None = None
    "Address of the object API; takes precedence over the profile."
    operator: str | None = None
    "Your name for the history; takes precedence over the profile."
    json: Annotated[bool, Parameter(negative="")] = False
    "Print JSON for scripts in place of tables."


@dataclass(frozen=True, slots=True)
class Session:
    """Profile, output and services that one command uses."""

    profile: ToolProfile
    output: Output
    store: HttpObjectStore
    fleet: FleetView
    revision_repository: RevisionRepository
    publisher: ConfigurationPublisher
    clock: LoopClock

    @property
    def promotion_policy(self) -> PromotionPolicy:
        """Evidence from trial that a promotion requires."""
        return PromotionPolicy(
            in_force_min_ms=self.profile.trial_min_ms,
            n_requests_min=self.profile.n_trial_requests_min,
        )

    async def read_burn_report(self, record: RevisionRecord) -> BurnReport | Failure:
        """Return the burn report of an environment under its document in force."""
        counts = await read_burn_counts(self.store, JsonBurnCodec(), record.environment)
        if isinstance(counts, Failure):
            return counts
        document = read_environment(record.text)
        if isinstance(document, Failure):
            return document
        now_ms = self.clock.wall_ms()
        return burn_report(
            record.environment, record.revision, document, counts, now_ms
        )


def read_file(path: Path) -> str:
    """Return the text of a file without newline translation."""
    try:
        return path.read_bytes().decode("utf-8")
    except OSError as error:
        raise CommandError(f"cannot read {path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        reason = f"{path}: byte {error.start} is not UTF-8; save the file as UTF-8"
        raise CommandError(reason, ExitCode.INVALID) from None


def _profile_path(common: CommonOptions) -> Path | None:
    if common.profile is not None:
        return common.profile
    if PROFILE_VARIABLE in os.environ:
        return Path(os.environ[PROFILE_VARIABLE])
    return PROFILE_DEFAULT if PROFILE_DEFAULT.exists() else None


def _load_profile(common: CommonOptions) -> ToolProfile:
    overrides: dict[str, Any] = {}
    if common.store is not None:
        overrides["store_address"] = common.store
    if common.operator is not None:
        overrides["operator"] = common.operator
    path = _profile_path(common)
    if path is not None:
        profile = read_profile(read_file(path), str(path))
        if isinstance(profile, Failure):
            raise CommandError(profile.reason, ExitCode.INVALID)
        return _merge_options(profile.model_dump(exclude_none=True), overrides)
    if len(overrides) < 2:
        raise CommandError(
            "no profile found; give --profile FILE, or both --store ADDRESS"
            " and --operator NAME"
        )
    return _merge_options({}, overrides)


def _merge_options(values: dict[str, Any], overrides: dict[str, Any]) -> ToolProfile:
    values.pop("schema_address", None)
    try:
        return ToolProfile.model_validate({**values, **overrides})
    except ValueError:
        shown = ", ".join(f"{name}={value!r}" for name, value in overrides.items())
        raise CommandError(
            f"invalid option: {shown}; write the store as IP:PORT and the operator"
            " as a name of at most 64 characters"
        ) from None


def _read_instance_summary(text: str) -> InstanceSummary | Failure:
    model = read_instance(text)
    if isinstance(model, Failure):
        return model
    return InstanceSummary(
        model.name, model.role, model.zone, model.address, model.state
    )


def open_session(common: CommonOptions) -> Session:
    """Create the services from the options and the profile."""
    profile = _load_profile(common)
    store = HttpObjectStore(profile.store_address)
    clock = LoopClock()
    fleet = FleetView(
        store,
        HttpInstanceAdminClient(),
        clock,
        _read_instance_summary,
        read_partition_map,
    )
    revision_repository = RevisionRepository(
        store, clock, JsonRevisionCodec(), read_environment
    )
    publisher = ConfigurationPublisher(revision_repository, fleet, lambda: token_hex(8))
    output = Output(common.json)
    return Session(profile, output, store, fleet, revision_repository, publisher, clock)
