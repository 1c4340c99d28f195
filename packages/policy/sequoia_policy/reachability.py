"""Detection of a host that is cut off from the store or from its peers."""

from collections.abc import Iterable
from datetime import timedelta

from attrs import define, field, frozen

STORE_LOST_AFTER = timedelta(milliseconds=1200)
PEER_LOST_AFTER = timedelta(milliseconds=1200)
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

    def reaches_store(self, now: timedelta) -> bool:
        """Return whether the peer can reach the store."""
        if (
            now - self.observed_at > PEER_LOST_AFTER
            or self.state.store_age is None
        ):
            return False
        return self.state.store_age < MAX_STORE_AGE


@define
class Reachability:
    """Connectivity of this host to the store and to its peers.

    Attributes:
        domain: Failure domain of this host.
        observed: Newest responses of peers by host.
        queried_since: Since when peers of other domains are queried; None if
            there are none.
    """

    domain: str
    observed: dict[str, ObservedPeer] = field(factory=dict)
    queried_since: timedelta | None = None

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
        if store_age is not None and store_age < STORE_LOST_AFTER:
            return False
        if any(peer.reaches_store(now) for peer in self.observed.values()):
            return True
        return self._is_alone(now)

    def _is_alone(self, now: timedelta) -> bool:
        """Return whether no peer of another domain is responding."""
        if self.queried_since is None:
            return False
        if now - self.queried_since < PEER_LOST_AFTER:
            return False
        return not any(
            now - peer.observed_at <= PEER_LOST_AFTER
            for peer in self.observed.values()
            if peer.state.domain != self.domain
        )
