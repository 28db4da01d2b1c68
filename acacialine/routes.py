"""Which queue a request belongs to, by the configuration in force.

A configuration is whole and numbered. Versions only rise while a process
lives, wherever a newer one comes from.
"""

import attrs

from acacialine import zonetables


@attrs.frozen
class Route:
    """One queue and the requests that it takes.

    Attributes:
        host: Host name that callers use, in lower case.
        prefix: What the path begins with, up to the job's id.
        timeout_s: Longest time that a request may take, in s.
    """

    queue: zonetables.Queue
    host: str
    prefix: str
    timeout_s: float


@attrs.frozen
class Configuration:
    """One version of the routes, found without a scan.

    Attributes:
        version: Number of the version.
        document: The bytes it was read from, for peers.
        max_body_bytes: Longest body of a request.
        by_prefix: Routes by host and prefix.
        lengths: Lengths of the prefixes of each host, longest first.
    """

    version: int
    document: bytes
    max_body_bytes: int
    by_prefix: dict[tuple[str, str], Route]
    lengths: dict[str, tuple[int, ...]]

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of a path."""
        for length in self.lengths.get(host, ()):
            route = self.by_prefix.get((host, path[:length]))
            if route is not None:
                return route
        return None


def new_configuration(
    version: int,
    document: bytes,
    max_body_bytes: int,
    routes: list[Route],
) -> Configuration:
    """Creates a configuration with its index."""
    by_prefix = {(r.host, r.prefix): r for r in routes}
    lengths: dict[str, set[int]] = {}
    for route in routes:
        lengths.setdefault(route.host, set()).add(len(route.prefix))
    ordered = {
        host: tuple(sorted(found, reverse=True))
        for host, found in lengths.items()
    }
    return Configuration(version, document, max_body_bytes, by_prefix, ordered)
