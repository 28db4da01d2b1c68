"""Routes of client requests to queues, by host name and path prefix.

A configuration holds all routes and has a version number. During the life of a
process a configuration is only ever replaced by one of a higher version, from
the store or from a peer.
"""

import attrs

from acacialine import clientlimits
from acacialine import zonetables

MAX_DROPPED_ROUTES = 1000  # the oldest are forgotten


@attrs.frozen
class Route:
    """Assigns requests with one host name and path prefix to a queue.

    Attributes:
        host: Host name in the request, in lower case.
        prefix: Start of the path, up to the id of the job.
        timeout_s: Deadline in s for requests that set none; 0 if the route
            has none.
    """

    queue: zonetables.Queue
    host: str
    prefix: str
    timeout_s: float


@attrs.frozen
class Configuration:
    """One version of the routes, indexed for lookup by host and prefix.

    Attributes:
        version: Number of the version.
        document: Encoded form in which it was received; relayed to peers.
        max_body_bytes: Largest body of a request.
        request_limits: Other limits of a request.
        by_prefix: Routes by host and prefix.
        prefix_lengths: Lengths of the prefixes of each host, longest first.
        dropped: Routes of earlier configurations that this one lacks, by host
            and prefix. A client may still cancel a job that it sent there.
    """

    version: int
    document: bytes
    max_body_bytes: int
    request_limits: clientlimits.RequestLimits
    by_prefix: dict[tuple[str, str], Route]
    prefix_lengths: dict[str, tuple[int, ...]]
    dropped: dict[tuple[str, str], Route] = attrs.field(factory=dict)

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route whose prefix is the longest that matches a path.

        The result is None if no prefix matches.
        """
        for length in self.prefix_lengths.get(host, ()):
            route = self.by_prefix.get((host, path[:length]))
            if route is not None:
                return route
        return None

    def find_dropped_route(self, host: str, path: str) -> Route | None:
        """Returns the dropped route with the longest prefix of a path."""
        matches = [
            route
            for (dropped_host, prefix), route in self.dropped.items()
            if dropped_host == host and path.startswith(prefix)
        ]
        return max(matches, key=lambda r: len(r.prefix), default=None)

    def after(self, earlier: "Configuration") -> "Configuration":
        """Returns this configuration with the routes that it drops."""
        dropped = {
            key: route
            for key, route in (earlier.dropped | earlier.by_prefix).items()
            if key not in self.by_prefix
        }
        surplus = len(dropped) - MAX_DROPPED_ROUTES
        for key in list(dropped)[: max(0, surplus)]:
            del dropped[key]
        return attrs.evolve(self, dropped=dropped)


def new_configuration(
    version: int,
    document: bytes,
    max_body_bytes: int,
    request_limits: clientlimits.RequestLimits,
    routes: list[Route],
) -> Configuration:
    """Creates a configuration and its index of routes."""
    by_prefix = {(r.host, r.prefix): r for r in routes}
    lengths_by_host: dict[str, set[int]] = {}
    for route in routes:
        lengths_by_host.setdefault(route.host, set()).add(len(route.prefix))
    prefix_lengths = {
        host: tuple(sorted(lengths, reverse=True))
        for host, lengths in lengths_by_host.items()
    }
    return Configuration(
        version,
        document,
        max_body_bytes,
        request_limits,
        by_prefix,
        prefix_lengths,
    )
