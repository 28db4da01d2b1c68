"""Layouts of entries, backend servers and a platform on loopback."""

import contextlib
import random
import socket

import attrs

from acacialine import platforms

PEER_KEY = "bench-key"
PORT_RANGE = (15000, 32000)
_HANDED_OUT: set[int] = set()  # no port is given out twice by one process


@attrs.frozen
class EntryPlan:
    """Addresses of one entry."""

    name: str
    zone: str
    caller: tuple[str, int]
    peer: tuple[str, int]
    admin: tuple[str, int]


@attrs.frozen
class BackendPlan:
    """Address of one backend server."""

    name: str
    zone: str
    rack: str
    address: tuple[str, int]


@attrs.frozen
class Layout:
    """Everything that runs in a demo, a test or a bench."""

    platform: tuple[str, int]
    entries: list[EntryPlan]
    backends: list[BackendPlan]


def free_ports(count: int) -> list[int]:
    """Returns ports that were free a moment ago.

    They lie below the range from which outgoing connections take theirs.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(*PORT_RANGE)
        if port in _HANDED_OUT:
            continue
        with socket.socket() as one:
            one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with contextlib.suppress(OSError):
                one.bind(("127.0.0.1", port))
                ports.append(port)
                _HANDED_OUT.add(port)
    return ports


def new_layout(
    zones: list[str], entries_per_zone: list[int], backends_per_zone: list[int]
) -> Layout:
    """Lays out entries and backend servers over zones."""
    count = 1 + 3 * sum(entries_per_zone) + sum(backends_per_zone)
    addresses = iter([("127.0.0.1", port) for port in free_ports(count)])
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


def text_of(address: tuple[str, int]) -> str:
    """Returns an address as `IP:port`."""
    return "{}:{}".format(*address)


def vms_of(layout: Layout) -> list[platforms.Vm]:
    """Returns the VM list of a layout."""
    result = [
        platforms.Vm(e.name, "entry", text_of(e.peer), e.zone)
        for e in layout.entries
    ]
    for backend in layout.backends:
        result.append(
            platforms.Vm(
                backend.name,
                "backend",
                text_of(backend.address),
                backend.zone,
                backend.rack,
            )
        )
    return result


def settings_text(
    plan: EntryPlan,
    platform_url: str,
    extra: dict[str, dict[str, object]] | None = None,
) -> str:
    """Returns the INI settings of one entry.

    Args:
        plan: The entry.
        platform_url: Where it finds the platform.
        extra: Further keys by section.
    """
    sections: dict[str, dict[str, object]] = {
        "entry": {
            "name": plan.name,
            "zone": plan.zone,
            "caller_address": text_of(plan.caller),
            "peer_address": text_of(plan.peer),
            "admin_address": text_of(plan.admin),
            "peer_keys": PEER_KEY,
        },
        "platform": {"url": platform_url},
    }
    for section, values in (extra or {}).items():
        sections.setdefault(section, {}).update(values)
    lines = []
    for section, values in sections.items():
        lines.append(f"[{section}]")
        lines += [f"{key} = {value}" for key, value in values.items()]
    return "\n".join(lines) + "\n"
