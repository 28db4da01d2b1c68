"""Addresses of an installation on loopback, for the demo, tests and benchmarks.

An installation has entries, fake backend servers and a fake platform.
"""

import attrs

from acacialine import platforms
from acacialine.tools import ports as ports_lib

PEER_KEY = "bench-key"


@attrs.frozen
class EntryPlan:
    """Name, zone and addresses of one entry.

    Attributes:
        caller: Address for clients.
        peer: Address for other entries.
        admin: Address of the admin interface.
    """

    name: str
    zone: str
    caller: tuple[str, int]
    peer: tuple[str, int]
    admin: tuple[str, int]


@attrs.frozen
class BackendPlan:
    """Name, place and address of one backend server."""

    name: str
    zone: str
    rack: str
    address: tuple[str, int]


@attrs.frozen
class Layout:
    """The platform address, the entries and the backend servers."""

    platform: tuple[str, int]
    entries: list[EntryPlan]
    backends: list[BackendPlan]


def new_layout(
    zones: list[str], entries_per_zone: list[int], backends_per_zone: list[int]
) -> Layout:
    """Returns a layout with reserved ports.

    Args:
        zones: Names of the zones.
        entries_per_zone: Number of entries in each zone.
        backends_per_zone: Number of backend servers in each zone.
    """
    count = 1 + 3 * sum(entries_per_zone) + sum(backends_per_zone)
    addresses = iter([("127.0.0.1", port) for port in ports_lib.reserve(count)])
    platform = next(addresses)
    entries = []
    backends = []
    for zone, entry_count, backend_count in zip(
        zones, entries_per_zone, backends_per_zone, strict=True
    ):
        for number in range(1, entry_count + 1):
            entries.append(
                EntryPlan(
                    f"{zone}-entry-{number}",
                    zone,
                    next(addresses),
                    next(addresses),
                    next(addresses),
                )
            )
        for number in range(1, backend_count + 1):
            backends.append(
                BackendPlan(
                    f"{zone}-backend-{number}",
                    zone,
                    f"{zone}-rack-1",
                    next(addresses),
                )
            )
    return Layout(platform, entries, backends)


def format_address(address: tuple[str, int]) -> str:
    """Formats an address as `IP:port`."""
    return "{}:{}".format(*address)


def new_vm_list(layout: Layout) -> list[platforms.Vm]:
    """Returns the platform's VM list for a layout."""
    result = [
        platforms.Vm(e.name, "entry", format_address(e.peer), e.zone)
        for e in layout.entries
    ]
    for backend in layout.backends:
        result.append(
            platforms.Vm(
                backend.name,
                "backend",
                format_address(backend.address),
                backend.zone,
                backend.rack,
            )
        )
    return result


def settings_text(
    plan: EntryPlan,
    platform_url: str,
    extra_settings: dict[str, dict[str, object]] | None = None,
) -> str:
    """Returns the INI settings of one entry.

    Args:
        plan: Name, zone and addresses of the entry.
        platform_url: Base URL of the platform.
        extra_settings: Further settings, by section; they override the others.
    """
    sections: dict[str, dict[str, object]] = {
        "entry": {
            "name": plan.name,
            "zone": plan.zone,
            "caller_address": format_address(plan.caller),
            "peer_address": format_address(plan.peer),
            "admin_address": format_address(plan.admin),
            "peer_keys": PEER_KEY,
        },
        "platform": {"url": platform_url},
    }
    for section, values in (extra_settings or {}).items():
        sections.setdefault(section, {}).update(values)
    lines = []
    for section, values in sections.items():
        lines.append(f"[{section}]")
        lines += [f"{key} = {value}" for key, value in values.items()]
    return "\n".join(lines) + "\n"
