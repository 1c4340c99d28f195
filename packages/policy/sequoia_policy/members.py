"""Gossip membership of entry hosts as a state machine without I/O.

Within a failure domain each message carries the heartbeats of all live hosts;
full rows are sent mainly after a change. Hosts of other domains receive only
occasional messages, enough to find some live peers there.
"""

import random
from datetime import timedelta

import mmh3
from attrs import define, evolve, field, frozen

INTERVALS_BEFORE_SUSPECT = 10
INTERVALS_BEFORE_REMOVAL = 120
DEFAULT_INTERVAL = timedelta(milliseconds=500)
LOCAL_FANOUT = 2  # messages per tick to hosts of the same domain
SENDS_PER_ROW = 8
MAX_CHANGED_ROWS = 8  # per message
MAX_UNCHANGED_ROWS = 4  # per message
MAX_REMOTE_ROWS = 3  # per message


@frozen
class Member:
    """The row of an entry host, as published by that host.

    Attributes:
        gossip: UDP address for gossip, as ``host:port``.
        peer: TCP address for forwarded requests.
        incarnation: Start time of the host in Unix milliseconds.
        heartbeat: Starts at the incarnation and increases by one per tick,
            so that a restarted host is ahead of its previous run.
        plan_number: Number of the newest plan in force at the host.
        draining: Whether the host is shutting down.
    """

    name: str
    domain: str
    gossip: str
    peer: str
    incarnation: int = 0
    heartbeat: int = 0
    plan_number: int = 0
    draining: bool = False

    @property
    def process(self) -> str:
        """Name of the process; it differs after a restart of the host."""
        return f'{self.name}#{self.incarnation}'

    @property
    def key(self) -> int:
        """Hash of the name that identifies the host in heartbeat lists."""
        return mmh3.hash(self.name)

    def differs_only_in_heartbeat(self, other: 'Member') -> bool:
        """Return whether all fields except the heartbeat are equal."""
        return evolve(self, heartbeat=0) == evolve(other, heartbeat=0)


@frozen
class MemberHeartbeat:
    """The newest known heartbeat of the host with a key."""

    key: int
    heartbeat: int


@define
class KnownMember:
    """The state of another host as known to this host.

    Attributes:
        heartbeat: Newest heartbeat, from a row or a heartbeat list.
        advanced_at: When the heartbeat last increased; None if never.
        sends_left: Remaining number of sends of the row as changed.
        last_sent_tick: Tick at which the row was last sent.
    """

    member: Member
    heartbeat: int = 0
    advanced_at: timedelta | None = None
    sends_left: int = SENDS_PER_ROW
    last_sent_tick: int = 0

    @property
    def row(self) -> Member:
        """The member with its newest heartbeat."""
        return evolve(self.member, heartbeat=self.heartbeat)


@frozen
class Digest:
    """A message: rows, the sender's first, and heartbeats of its domain."""

    sender: str
    members: tuple[Member, ...]
    heartbeats: tuple[MemberHeartbeat, ...] = ()


@frozen
class OutgoingDigest:
    """A message and the member that it is to be sent to."""

    recipient: Member
    digest: Digest


@define
class MemberTable:
    """Table of the hosts known from gossip and from the hosts list.

    Attributes:
        own_member: The row of this host.
        rng: Source of randomness.
        interval: Time between two ticks.
        known: Other hosts by name.
        names: Names of the other hosts by heartbeat key.
        ticks: Number of ticks since the start.
    """

    own_member: Member
    rng: random.Random
    interval: timedelta = DEFAULT_INTERVAL
    known: dict[str, KnownMember] = field(factory=dict)
    names: dict[int, str] = field(factory=dict)
    ticks: int = 0

    def __attrs_post_init__(self) -> None:
        """Initialize the heartbeat with the incarnation."""
        self.own_member = evolve(
            self.own_member, heartbeat=self.own_member.incarnation
        )

    def tick(self, now: timedelta) -> list[OutgoingDigest]:
        """Advance the heartbeat of this host and return messages to send."""
        self.ticks += 1
        self.own_member = evolve(
            self.own_member, heartbeat=self.own_member.heartbeat + 1
        )
        self._remove_expired(now)
        local = self._list_members(remote=False)
        count = min(LOCAL_FANOUT, len(local))
        outgoing = [
            OutgoingDigest(recipient, self._make_local_digest(now))
            for recipient in self.rng.sample(local, count)
        ]
        remote = self._list_members(remote=True)
        if remote:
            recipient = self.rng.choice(remote)
            outgoing.append(
                OutgoingDigest(recipient, self._make_remote_digest(now))
            )
        return outgoing

    def receive(self, digest: Digest, now: timedelta) -> None:
        """Merge the rows and heartbeats of a message."""
        for member in digest.members:
            if member.name == self.own_member.name:
                self._overtake_previous_run(member)
            else:
                self._merge_row(member, now)
        for received in digest.heartbeats:
            known = self.known.get(self.names.get(received.key, ''))
            if known:
                record_heartbeat(known, received.heartbeat, now)

    def add_contact(self, member: Member) -> None:
        """Add a listed host; it counts as alive from its first heartbeat."""
        if member.name == self.own_member.name:
            return
        known = self.known.get(member.name)
        if known is None:
            self._add(KnownMember(member, sends_left=0))
        elif known.advanced_at is None:
            known.member = member

    def is_alive(self, name: str, now: timedelta) -> bool:
        """Return whether a host has a recent heartbeat and is not draining."""
        if name == self.own_member.name:
            return not self.own_member.draining
        known = self.known.get(name)
        if known is None or known.member.draining:
            return False
        return self._is_fresh(known, now)

    def live_members(self, domain: str, now: timedelta) -> list[Member]:
        """Return the live members of a failure domain, sorted by name."""
        members = [known.member for known in self.known.values()]
        members.append(self.own_member)
        return sorted(
            (
                member
                for member in members
                if member.domain == domain and self.is_alive(member.name, now)
            ),
            key=lambda member: member.name,
        )

    def _is_fresh(self, known: KnownMember, now: timedelta) -> bool:
        if known.advanced_at is None:
            return False
        return (
            now - known.advanced_at < self.interval * INTERVALS_BEFORE_SUSPECT
        )

    def _list_members(self, *, remote: bool) -> list[Member]:
        return [
            known.member
            for known in self.known.values()
            if (known.member.domain != self.own_member.domain) is remote
        ]

    def _merge_row(self, member: Member, now: timedelta) -> None:
        known = self.known.get(member.name)
        if known is None:
            known = KnownMember(member)
            self._add(known)
        if member.heartbeat <= known.heartbeat:
            return
        if not member.differs_only_in_heartbeat(known.member):
            known.member = member
            known.sends_left = SENDS_PER_ROW
        record_heartbeat(known, member.heartbeat, now)

    def _add(self, known: KnownMember) -> None:
        self.known[known.member.name] = known
        self.names[known.member.key] = known.member.name

    def _overtake_previous_run(self, previous: Member) -> None:
        """Advance the heartbeat past that of a previous run of this host.

        The previous run is ahead if its clock was ahead at its start.
        """
        if previous.heartbeat > self.own_member.heartbeat:
            self.own_member = evolve(
                self.own_member, heartbeat=previous.heartbeat + 1
            )

    def _make_local_digest(self, now: timedelta) -> Digest:
        fresh = [
            known
            for known in self.known.values()
            if known.member.domain == self.own_member.domain
            and self._is_fresh(known, now)
        ]
        rows = (*self._pick_changed(fresh), *self._pick_unchanged(fresh))
        heartbeats = tuple(
            MemberHeartbeat(known.member.key, known.heartbeat)
            for known in fresh
        )
        members = (self.own_member, *(known.row for known in rows))
        return Digest(self.own_member.name, members, heartbeats)

    def _make_remote_digest(self, now: timedelta) -> Digest:
        fresh = [
            known.row
            for known in self.known.values()
            if known.member.domain == self.own_member.domain
            and self._is_fresh(known, now)
        ]
        count = min(MAX_REMOTE_ROWS, len(fresh))
        rows = self.rng.sample(fresh, count)
        return Digest(self.own_member.name, (self.own_member, *rows))

    def _pick_changed(self, fresh: list[KnownMember]) -> list[KnownMember]:
        changed = [known for known in fresh if known.sends_left]
        changed.sort(key=lambda known: known.sends_left, reverse=True)
        for known in changed[:MAX_CHANGED_ROWS]:
            known.sends_left -= 1
            known.last_sent_tick = self.ticks
        return changed[:MAX_CHANGED_ROWS]

    def _pick_unchanged(self, fresh: list[KnownMember]) -> list[KnownMember]:
        unchanged = [
            known for known in fresh if known.last_sent_tick < self.ticks
        ]
        unchanged.sort(key=lambda known: known.last_sent_tick)
        for known in unchanged[:MAX_UNCHANGED_ROWS]:
            known.last_sent_tick = self.ticks
        return unchanged[:MAX_UNCHANGED_ROWS]

    def _remove_expired(self, now: timedelta) -> None:
        max_age = self.interval * INTERVALS_BEFORE_REMOVAL
        expired = [
            known.member
            for known in self.known.values()
            if known.advanced_at is not None
            and now - known.advanced_at > max_age
        ]
        for member in expired:
            self.known.pop(member.name)
            self.names.pop(member.key, None)


def record_heartbeat(
    known: KnownMember, heartbeat: int, now: timedelta
) -> None:
    """Store a heartbeat of a known member if it is newer."""
    if heartbeat > known.heartbeat:
        known.heartbeat = heartbeat
        known.advanced_at = now
