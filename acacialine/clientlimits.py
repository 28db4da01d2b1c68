"""Limits on what a process holds for clients that it does not control.

Each listening address has a budget of bytes and of connections. A connection
has an account, which is charged before bytes are kept. When a budget is spent,
the connections that hold most and progress least release what they hold. This
module decides; `accepting`, `httpserver` and `peering` do the I/O. It addresses
crowds of clients that send or read slowly or never finish.
"""

import collections
import collections.abc
import enum

import attrs

# What an open connection costs beside the data that is kept for it: 9 KB of
# resident memory for its task, socket and parser, measured with 1,400 of them.
CONNECTION_BYTES = 10 << 10
REQUEST_BYTES = 1 << 10  # of the objects of a request beside its body
RETRY_AFTER_S = 1  # told to a client that is refused for lack of room
# Smallest VM of the platform; also what an unset memory_mb means.
DEFAULT_MEMORY_MB = 160
# What a process needs without clients. An idle one takes 44 to 80 MB, a placer
# with its servers and jobs more.
BASELINE_MB = 96
# Of the memory above the baseline. The rest is for what Python and the memory
# allocator take on top of the bytes that are counted, and for accepted jobs.
BUDGET_SHARE = 0.4
MIN_BUDGET_BYTES = 8 << 20
FILE_FDS = 200  # of the limit; the platform counts them for files
# Of the other descriptors. The rest is for backend servers, peers, the store.
CLIENT_FD_SHARE = 0.6
# The load balancer and scrapers use one or a few connections; those beyond the
# limit replace the ones that progress least.
READY_CONNECTIONS = 48
METRICS_CONNECTIONS = 32
# Links between dispatchers in their handshake. The largest installation has 97
# dispatchers, which may all connect at the same time; a handshake takes a few
# ms, and a newer one replaces the one that waits longest.
HANDSHAKES = 128
# Shares of the budget by address.
_CLIENT_SHARE = 0.8
_METRICS_SHARE = 0.1
_READY_SHARE = 0.05
_PEER_SHARE = 0.05
# Room is made for more than the next connection, so that the search for those
# to close isn't repeated for each.
_BYTES_SLACK_SHARE = 1 / 8
_CONNECTIONS_SLACK_SHARE = 1 / 32
# After a search that found too little to release, the next one waits this long,
# since it sorts all accounts.
_SEARCH_INTERVAL_S = 0.05
# A connection whose job was taken isn't asked to release less than this.
_MIN_RELEASED_BYTES = 4 << 10


class Cause(enum.Enum):
    """Why a connection was closed or a request refused."""

    MEMORY = "memory"  # the budget of bytes is spent
    CONNECTIONS = "connections"  # too many connections
    DESCRIPTORS = "descriptors"  # the process can't open another one
    HEAD = "head"  # request line or headers over the limit
    BODY = "body"  # body over the limit
    MALFORMED = "malformed"
    PIPELINED = "pipelined"  # too many requests wait behind an open one
    TIMEOUT = "timeout"  # a request isn't complete, or none came, in time
    UNREAD = "unread"  # the client doesn't read its answers


@attrs.frozen
class RequestLimits:
    """Limits of one request; the configuration may make them stricter.

    Attributes:
        max_header_bytes: Names and values of all headers.
        max_headers: Number of headers.
        header_timeout_s: From the first byte of a request to the end of its
            headers.
        idle_timeout_s: Of a connection without a request.
    """

    max_header_bytes: int = 32 << 10
    # As many of the shortest possible headers, `a:` and a line end, as fit in
    # the 16,384 bytes of the platform's default.
    max_headers: int = 4096
    header_timeout_s: float = 20.0
    idle_timeout_s: float = 60.0


@attrs.define(eq=False)
class Account:
    """What one connection holds.

    Attributes:
        release: Called to make room, with the cause: closes the connection,
            or, if its job was taken, drops the requests behind it.
        held_bytes: Bytes charged to it.
        since: When it began what it now waits for: its request, or to be idle.
        is_protected: Whether its job was taken, so that it isn't closed.
    """

    release: collections.abc.Callable[[Cause], None]
    since: float
    held_bytes: int = 0
    is_protected: bool = False

    def rank(self, now: float) -> float:
        """Returns how much it holds for how long; the highest goes first."""
        return self.held_bytes * (now - self.since)


@attrs.define(eq=False)
class Budget:
    """What the connections of one listening address may hold together.

    Attributes:
        max_bytes: Largest sum of the bytes that they hold.
        max_connections: Largest number of connections.
        held_bytes: Sum of the bytes that they hold.
        accounts: The open connections.
        counts: Closed connections and refused requests, by cause.
    """

    max_bytes: int
    max_connections: int
    held_bytes: int = 0
    accounts: set[Account] = attrs.field(factory=set)
    counts: collections.Counter[Cause] = attrs.field(
        factory=collections.Counter
    )
    _search_at: float = 0.0

    def open(self, now: float) -> Account | None:
        """Opens an account for a new connection; None if it is refused."""
        if len(self.accounts) >= self.max_connections:
            self._free_connections(Cause.CONNECTIONS, now)
            if len(self.accounts) >= self.max_connections:
                self.counts[Cause.CONNECTIONS] += 1
                return None
        account = Account(_do_nothing, now)
        self.accounts.add(account)
        if not self.resize(account, CONNECTION_BYTES, now):
            self.close(account)
            self.counts[Cause.MEMORY] += 1
            return None
        return account

    def close(self, account: Account) -> None:
        """Closes an account; closing it again has no effect."""
        if account in self.accounts:
            self.accounts.remove(account)
            self.held_bytes -= account.held_bytes
            account.held_bytes = 0

    def resize(self, account: Account, held_bytes: int, now: float) -> bool:
        """Charges an account with all that its connection holds or will hold.

        Returns:
            Whether there is room. If not, the account is as before; its
            connection must not keep more than it holds.
        """
        growth = held_bytes - account.held_bytes
        if growth <= 0 or self.held_bytes + growth <= self.max_bytes:
            self.held_bytes += growth
            account.held_bytes = held_bytes
            return True
        if not self._free_bytes(account, growth, now):
            return False
        self.held_bytes += growth
        account.held_bytes = held_bytes
        return True

    def _free_bytes(self, account: Account, growth: int, now: float) -> bool:
        """Makes room for the growth of an account.

        Returns False if the account itself is the next to release.
        """
        if now < self._search_at:
            return False
        target = self.max_bytes - growth
        low_target = target - int(self.max_bytes * _BYTES_SLACK_SHARE)
        for other in self._rank_accounts(now):
            if self.held_bytes <= low_target:
                break
            if other is account:
                # Those that hold less or progress more aren't closed for it.
                return self.held_bytes <= target
            if other.is_protected and (
                other.held_bytes < CONNECTION_BYTES + _MIN_RELEASED_BYTES
            ):
                continue
            other.release(Cause.MEMORY)
        is_freed = self.held_bytes <= target
        if not is_freed:
            self._search_at = now + _SEARCH_INTERVAL_S
        return is_freed

    def _free_connections(self, cause: Cause, now: float) -> None:
        if now < self._search_at:
            return
        count = max(1, int(self.max_connections * _CONNECTIONS_SLACK_SHARE))
        for account in self._rank_accounts(now):
            if not account.is_protected:
                account.release(cause)
                count -= 1
            if not count:
                return
        self._search_at = now + _SEARCH_INTERVAL_S

    def free_descriptors(self, now: float) -> None:
        """Closes some connections, as the process can't open any more."""
        self._free_connections(Cause.DESCRIPTORS, now)

    def _rank_accounts(self, now: float) -> list[Account]:
        return sorted(self.accounts, key=lambda a: a.rank(now), reverse=True)


def _do_nothing(cause: Cause) -> None:
    """Releases nothing, until the connection sets its own function."""


def new_unlimited_budget() -> Budget:
    """Returns a budget that is never spent."""
    return Budget(1 << 62, 1 << 62)


@attrs.define(eq=False)
class LineLimit:
    """Bounds the log lines that one kind of refused input may cause.

    Attributes:
        interval_s: Shortest time between two lines.
        unlogged: Lines that were left out since the last one.
    """

    interval_s: float
    unlogged: int = 0
    _logged_at: float = -1e9

    def allows(self, now: float) -> bool:
        """Returns whether a line may be written now; counts it if not."""
        if now < self._logged_at + self.interval_s:
            self.unlogged += 1
            return False
        self._logged_at = now
        return True


@attrs.frozen
class Budgets:
    """The budgets of a process, by listening address."""

    clients: Budget
    ready: Budget
    metrics: Budget
    peers: Budget

    def by_address(self) -> dict[str, Budget]:
        """Returns the budgets by the name of their address in the log."""
        return {
            "clients": self.clients,
            "ready": self.ready,
            "metrics": self.metrics,
            "peers": self.peers,
        }


def new_budgets(memory_mb: float | None, max_fds: float) -> Budgets:
    """Divides the memory and descriptors of a process.

    Args:
        memory_mb: Memory that the process may use; None if it isn't known.
        max_fds: File descriptors that the process may open.
    """
    memory_mb = memory_mb or DEFAULT_MEMORY_MB
    spare_bytes = (memory_mb - BASELINE_MB) * (1 << 20)
    budget = max(MIN_BUDGET_BYTES, int(spare_bytes * BUDGET_SHARE))
    client_connections = max(
        16, int((max_fds - FILE_FDS) * CLIENT_FD_SHARE)
    ) - (READY_CONNECTIONS + METRICS_CONNECTIONS + HANDSHAKES)
    return Budgets(
        Budget(int(budget * _CLIENT_SHARE), max(16, client_connections)),
        Budget(int(budget * _READY_SHARE), READY_CONNECTIONS),
        Budget(int(budget * _METRICS_SHARE), METRICS_CONNECTIONS),
        Budget(int(budget * _PEER_SHARE), HANDSHAKES),
    )
