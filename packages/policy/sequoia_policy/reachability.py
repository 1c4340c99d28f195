"""Whether a host is cut off, from its store and from what peers answer."""

from collections.abc import Iterable
from datetime import timedelta

from attrs import define, field, frozen

STORE_LOST_AFTER = timedelta(milliseconds=1200)
PEER_LOST_AFTER = timedelta(milliseconds=1200)
STORE_FRESH = timedelta(milliseconds=800)


@frozen
class PeerState:
    """What a host tells a peer that asks.

    Attributes:
        host: Name of the host that answers.
        store_age: Time since the store answered it; None if it never did.
    """

    host: str
    domain: str
    store_age: timedelta | None


@define
class ObservedPeer:
    """The newest answer of a peer, and when it came."""

    state: PeerState
    heard: timedelta

    def reaches_store(self, now: timedelta) -> bool:
        """Tell whether the peer is in touch with the store."""
        if now - self.heard > PEER_LOST_AFTER or self.state.store_age is None:
            return False
        return self.state.store_age < STORE_FRESH


@define
class Reachability:
    """What a host knows of its own connection to the rest.

    Attributes:
        domain: Failure domain of this host.
        asked_since: When this host began to ask peers of other domains.
    """

    domain: str
    observed: dict[str, ObservedPeer] = field(factory=dict)
    asked_since: timedelta | None = None

    def record_query(self, domains: Iterable[str], now: timedelta) -> None:
        """Remember that peers of some domains are being asked."""
        if any(domain != self.domain for domain in domains):
            if self.asked_since is None:
                self.asked_since = now
        else:
            self.asked_since = None

    def record_state(self, state: PeerState, now: timedelta) -> None:
        """Take a peer's answer."""
        self.observed[state.host] = ObservedPeer(state, now)

    def is_cut_off(self, now: timedelta, store_age: timedelta | None) -> bool:
        """Tell whether others serve callers better than this host.

        A store that is away for all hosts cuts none of them off.
        """
        if store_age is not None and store_age < STORE_LOST_AFTER:
            return False
        if any(one.reaches_store(now) for one in self.observed.values()):
            return True
        return self._is_alone(now)

    def _is_alone(self, now: timedelta) -> bool:
        """Tell whether no peer of another domain answers any more."""
        if self.asked_since is None:
            return False
        if now - self.asked_since < PEER_LOST_AFTER:
            return False
        return not any(
            now - one.heard <= PEER_LOST_AFTER
            for one in self.observed.values()
            if one.state.domain != self.domain
        )
