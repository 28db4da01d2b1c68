"""Proxy routes with fixed delays in a process of their own.

The bench uses it where no fault is injected, so that the delays do not share
a processor with the load generator.
"""

import functools

import attrs
import msgspec
import trio

from acacialine.tools import faultproxy


@attrs.frozen
class RouteSpec:
    """One route.

    Attributes:
        zone: Zone of the receiver; empty for routes of callers.
        delay_s: Delay of each direction, between zones for peer routes.
    """

    listen: tuple[str, int]
    target: tuple[str, int]
    delay_s: float
    zone: str = ""


@attrs.frozen
class ProxySpec:
    """All routes of one proxy process."""

    routes: list[RouteSpec]
    zone_by_port: dict[int, str] = attrs.field(factory=dict)


def _delay(spec: ProxySpec, route: RouteSpec, sender: str) -> float:
    """Returns the delay of a peer link by the zone of its dialler."""
    port = int(sender.rsplit("-", 2)[1])
    same = spec.zone_by_port.get(port) == route.zone
    return 0.0 if same else route.delay_s


async def serve(spec: ProxySpec) -> None:
    """Serves all routes until the process is ended."""
    async with trio.open_nursery() as nursery:
        for route in spec.routes:
            made = faultproxy.Route(route.listen, route.target)
            if route.zone:
                made.rule = functools.partial(_delay, spec, route)
            else:
                made.delay_s = route.delay_s
            nursery.start_soon(faultproxy.serve, made)


def main(path: str) -> None:
    """Reads the routes from a JSON file and serves them."""
    with open(path, "rb") as source:
        spec = msgspec.json.decode(source.read(), type=ProxySpec)
    trio.run(serve, spec)
