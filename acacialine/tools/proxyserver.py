"""Runs proxy routes with fixed delays in a separate process.

The benchmarks use it where no fault is injected, so that the proxies do not
share a CPU with the load generator.
"""

import functools

import attrs
import msgspec
import trio

from acacialine.tools import faultproxy


@attrs.frozen
class RouteSpec:
    """One route, as in the JSON file.

    Attributes:
        delay_s: Delay of each direction; a peer route applies it only to
            connections from other zones.
        zone: Zone of the target, for peer routes; empty for client routes.
    """

    listen: tuple[str, int]
    target: tuple[str, int]
    delay_s: float
    zone: str = ""


@attrs.frozen
class ProxySpec:
    """All routes of one proxy process, as in the JSON file.

    Attributes:
        zone_by_port: Zone of each entry by its peer port, to find the zone of
            a dialler.
    """

    routes: list[RouteSpec]
    zone_by_port: dict[int, str] = attrs.field(factory=dict)


def _delay_by_zone(spec: ProxySpec, route: RouteSpec, dialler: str) -> float:
    """Returns the delay of a peer link, 0 within a zone.

    `dialler` is the dialling entry as `<host>-<port>-<nonce>`.
    """
    port = int(dialler.rsplit("-", 2)[1])
    is_same_zone = spec.zone_by_port.get(port) == route.zone
    return 0.0 if is_same_zone else route.delay_s


async def serve(spec: ProxySpec) -> None:
    """Serves all routes until cancelled."""
    async with trio.open_nursery() as nursery:
        for route in spec.routes:
            proxy_route = faultproxy.ProxyRoute(route.listen, route.target)
            if route.zone:
                proxy_route.delay_by_dialler = functools.partial(
                    _delay_by_zone, spec, route
                )
            else:
                proxy_route.delay_s = route.delay_s
            nursery.start_soon(faultproxy.serve, proxy_route)


def main(path: str) -> None:
    """Reads the routes from a JSON file and serves them."""
    with open(path, "rb") as file:
        spec = msgspec.json.decode(file.read(), type=ProxySpec)
    trio.run(serve, spec)
