"""Team documents: the quotas, limits, tokens and task kinds of one team."""

import hashlib
import hmac
import re

import attrs

from acacialine import errors
from acacialine import ini

SERVICE_OPTIONS = (
    ini.Option("team", ini.name, None, "Name of the owning team."),
    ini.Option(
        "weight",
        ini.number(0.01, 1000),
        "1",
        "Weight of the team in fair sharing.",
    ),
    ini.Option(
        "quota_slots",
        ini.integer(0, 1_000_000),
        "0",
        "Slots the team may hold at once; 0 is no limit.",
    ),
    ini.Option(
        "quota_starts",
        ini.number(0, 1e9),
        "0",
        "Task starts per second guaranteed to the team, and its limit when"
        " other teams wait; 0 is no limit.",
    ),
    ini.Option(
        "zones", ini.words, "", "Zones its tasks may run in; empty: any."
    ),
)

LIMIT_OPTIONS = (
    ini.Option(
        "max_tasks", ini.integer(1, 1600), "1600", "Most tasks in one job."
    ),
    ini.Option(
        "max_payload_bytes",
        ini.integer(1, 1 << 26),
        "1048576",
        "Largest payload of one task, in bytes.",
    ),
    ini.Option(
        "max_queued_bytes",
        ini.integer(1, 1 << 30),
        "33554432",
        "Most bytes of request bodies of unfinished jobs that one entry holds"
        " for the team.",
    ),
)

KIND_OPTIONS = (
    ini.Option(
        "idempotent",
        ini.boolean,
        "yes",
        "Whether running a task twice is harmless.",
    ),
    ini.Option(
        "declared_ms",
        ini.number(0.1, 3.6e6),
        "200",
        "Expected run time of one task, in ms; only a hint.",
    ),
    ini.Option(
        "deadline_ms",
        ini.integer(1, 3_600_000),
        "10000",
        "Deadline of a job whose request has none, in ms.",
    ),
    ini.Option("cpus", ini.number(0, 1024), "1", "Processors of one task."),
    ini.Option(
        "memory_mb", ini.number(0, 1e7), "256", "Memory of one task, in MB."
    ),
    ini.Option(
        "accelerators", ini.integer(0, 64), "0", "Accelerators of one task."
    ),
)

_KIND_SECTION_PATTERN = re.compile(
    r"kind (?P<name>[A-Za-z0-9][A-Za-z0-9._-]{0,62})"
)
_TOKEN_DIGEST_PATTERN = re.compile(r"sha256:[0-9a-f]{64}")


@attrs.frozen
class Kind:
    """One kind of task of a team; `KIND_OPTIONS` describes the fields."""

    name: str
    idempotent: bool
    declared_ms: float
    deadline_ms: int
    cpus: float
    memory_mb: float
    accelerators: int


@attrs.frozen
class Limits:
    """Limits on one team's requests; see `LIMIT_OPTIONS`."""

    max_tasks: int
    max_payload_bytes: int
    max_queued_bytes: int


@attrs.frozen
class TeamDocument:
    """A validated team document; `SERVICE_OPTIONS` describes its settings.

    Attributes:
        limits: Limits on the team's requests.
        kinds: The kinds of its tasks, by name.
        token_digests: Digests of its bearer tokens; see `token_digest`.
    """

    team: str
    weight: float
    quota_slots: int
    quota_starts: float
    zones: tuple[str, ...]
    limits: Limits
    kinds: dict[str, Kind]
    token_digests: frozenset[str] = attrs.field(repr=False)

    def accepts_token(self, token: str) -> bool:
        """Returns whether a bearer token belongs to this team."""
        digest = token_digest(token)
        return any(
            hmac.compare_digest(digest, known_digest)
            for known_digest in self.token_digests
        )


def token_digest(token: str) -> str:
    """Returns the digest by which documents store a bearer token."""
    return "sha256:" + hashlib.sha256(token.encode()).hexdigest()


def read_document(text: str, source: str) -> TeamDocument:
    """Parses and validates a team document.

    Args:
        text: The document in INI form.
        source: Its file or team name, for findings.

    Raises:
        errors.FindingsError: With every finding in the text.
    """
    parsed = ini.parse_text(text, source)
    service = ini.read_section(parsed, "service", SERVICE_OPTIONS)
    limits = ini.read_section(parsed, "limits", LIMIT_OPTIONS)
    digests = _read_tokens(parsed)
    kinds = _read_kinds(parsed)
    _check_consistency(parsed, service, limits, kinds)
    if parsed.findings:
        raise errors.FindingsError(
            errors.Code.INVALID_DOCUMENT, parsed.findings
        )
    return TeamDocument(
        **service, limits=Limits(**limits), kinds=kinds, token_digests=digests
    )


def _read_tokens(parsed: ini.Text) -> frozenset[str]:
    section = parsed.sections.get("tokens")
    if section is None or not section.values:
        parsed.add("tokens", "", "at least one token digest is required")
        return frozenset()
    for key, value in section.values.items():
        if not _TOKEN_DIGEST_PATTERN.fullmatch(value):
            parsed.add("tokens", key, "must be sha256: and 64 hex digits")
    return frozenset(section.values.values())


def _read_kinds(parsed: ini.Text) -> dict[str, Kind]:
    kinds = {}
    for section in parsed.sections:
        match = _KIND_SECTION_PATTERN.fullmatch(section)
        if match:
            values = ini.read_section(parsed, section, KIND_OPTIONS)
            if len(values) == len(KIND_OPTIONS):
                kinds[match["name"]] = Kind(match["name"], **values)
        elif section not in ("service", "limits", "tokens"):
            parsed.add(section, "", "is not a known section")
    if not any(_KIND_SECTION_PATTERN.fullmatch(s) for s in parsed.sections):
        parsed.add("kind", "", "at least one [kind NAME] is required")
    return kinds


def _check_consistency(
    parsed: ini.Text, service: dict, limits: dict, kinds: dict[str, Kind]
) -> None:
    """Adds a finding for each pair of values that contradict each other."""
    for kind in kinds.values():
        if kind.declared_ms > kind.deadline_ms:
            parsed.add(
                f"kind {kind.name}",
                "declared_ms",
                f"exceeds deadline_ms, {kind.deadline_ms}",
            )
    payload_bytes = limits.get("max_payload_bytes", 0)
    if payload_bytes > limits.get("max_queued_bytes", payload_bytes):
        parsed.add("limits", "max_payload_bytes", "exceeds max_queued_bytes")
    slots = service.get("quota_slots", 0)
    starts_per_s = service.get("quota_starts", 0)
    shortest_ms = min((k.declared_ms for k in kinds.values()), default=0)
    if (
        slots
        and starts_per_s
        and shortest_ms
        and starts_per_s * shortest_ms / 1000 > slots
    ):
        parsed.add(
            "service",
            "quota_starts",
            f"needs more than quota_slots, {slots}, at the shortest"
            f" declared_ms, {shortest_ms:g}",
        )
