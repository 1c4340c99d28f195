"""Detection of a host that is cut off from the store or from its peers."""

from collections.abc import Iterable
from datetime import timedelta

from attrs import define, field, frozen

STORE_LOST_AFTER = timedelta(milliseconds=1200)
STORE_LOST_MARGIN = timedelta(milliseconds=500)  # over the feed interval
PEER_LOST_AFTER = timedelta(milliseconds=1200)
ALONE_AFTER = timedelta(milliseconds=800)  # of queries without a response
# Age of the store's last response from which peers are queried.
QUERY_AFTER = timedelta(milliseconds=500)
QUERY_MARGIN = timedelta(milliseconds=100)  # over the feed interval
# Maximum ``PeerState.store_age`` of a peer that counts as reaching the store.
MAX_STORE_AGE = timedelta(milliseconds=800)


@frozen
class PeerState:
    """Response of a host to the query of a peer.

    Attributes:
        host: Name of the responding host.
        store_age: Time since the last response of the store to this host;
            None if there was none.
    """

    host: str
    domain: str
    store_age: timedelta | None


@define
class ObservedPeer:
    """The newest response of a peer and when it arrived."""

    state: PeerState
    observed_at: timedelta

    def reaches_store(self, now: timedelta, max_age: timedelta) -> bool:
        """Return whether the store responded to the peer within ``max_age``."""
        if (
            now - self.observed_at > PEER_LOST_AFTER
            or self.state.store_age is None
        ):
            return False
        return self.state.store_age < max_age


@define
class Reachability:
    """Connectivity of this host to the store and to its peers.

    Peers are queried only while the store is silent: queries of hundreds of
    hosts would otherwise add up at the few hosts that are queried.

    Attributes:
        domain: Failure domain of this host.
        feed_interval: Time between two reads of a table, after which a host
            that reaches the store has heard from it.
        observed: Newest responses of peers by host.
        queried_since: Since when peers of other domains are queried; None if
            there are none.
    """

    domain: str
    feed_interval: timedelta = timedelta()
    observed: dict[str, ObservedPeer] = field(factory=dict)
    queried_since: timedelta | None = None

    def needs_peers(self, store_age: timedelta | None) -> bool:
        """Return whether to query peers about the store.

        Args:
            store_age: Time since the last response of the store to this
                host; None if there was none.
        """
        limit = max(QUERY_AFTER, self.feed_interval + QUERY_MARGIN)
        return store_age is None or store_age >= limit

    def record_query(self, domains: Iterable[str], now: timedelta) -> None:
        """Record that peers of these failure domains are being queried."""
        if any(domain != self.domain for domain in domains):
            if self.queried_since is None:
                self.queried_since = now
        else:
            self.queried_since = None

    def record_state(self, state: PeerState, now: timedelta) -> None:
        """Record the response of a peer."""
        self.observed[state.host] = ObservedPeer(state, now)

    def is_cut_off(self, now: timedelta, store_age: timedelta | None) -> bool:
        """Return whether other hosts can serve callers better than this one.

        A store outage that affects all hosts cuts none of them off.

        Args:
            now: Current time.
            store_age: Time since the last response of the store to this
                host; None if there was none.
        """
        lost_after = max(
            STORE_LOST_AFTER, self.feed_interval + STORE_LOST_MARGIN
        )
        if store_age is not None and store_age < lost_after:
            return False
        max_age = max(MAX_STORE_AGE, self.feed_interval + QUERY_MARGIN)
        peers = self.observed.values()
        if any(peer.reaches_store(now, max_age) for peer in peers):
            return True
        return self._is_alone(now)

    def _is_alone(self, now: timedelta) -> bool:
        """Return whether no peer of another domain is responding."""
        if self.queried_since is None:
            return False
        if now - self.queried_since < ALONE_AFTER:
            return False
        return not any(
            now - peer.observed_at <= PEER_LOST_AFTER
            for peer in self.observed.values()
            if peer.state.domain != self.domain
        )
