"""Whether a host reaches any target, by what its requests meet.

A target that does not respond may be down, and one that accepts a connection and
sends nothing may be at capacity. If several fail and none responds in between, the
host has more likely lost its own links. Silence alone only raises a suspicion: a
peer that reaches the silent targets confirms it.
"""

import itertools
from collections.abc import Collection, Iterator
from datetime import timedelta

from attrs import define, field, frozen

MIN_FAILED = 2  # targets in a row
# Without a byte from any target. Engines may need most of it for the first token,
# and each probe is a new connection.
SILENCE_LIMIT = timedelta(seconds=1)
PROBE_INTERVAL = timedelta(milliseconds=200)  # while any target fails
MAX_HEDGE_DELAY = timedelta(milliseconds=400)
# While probes are answered and requests are slow, probes are rarer.
SLOW_PROBE_INTERVAL = timedelta(seconds=1)


@frozen
class Wait:
    """A request that has received no byte of its response yet."""

    number: int
    sent_at: timedelta


@define
class TargetPath:
    """What the requests of this host have met since the last response.

    Attributes:
        failed: Names of the targets that could not be connected to or broke off
            since any target responded.
        silent: Names of the targets that accepted a request since then and sent
            no byte in time.
        confirmed: Whether a peer reached targets that are silent here.
        suspected_at: When the path became suspected; None if it is not.
        received_at: When a target last sent the head of a response.
        probed_at: When targets were last probed.
        waits: Requests without any byte of a response, by number.
    """

    failed: set[str] = field(factory=set)
    silent: set[str] = field(factory=set)
    confirmed: bool = False
    suspected_at: timedelta | None = None
    received_at: timedelta = timedelta()
    probed_at: timedelta | None = None
    waits: dict[int, Wait] = field(factory=dict)
    numbers: Iterator[int] = field(factory=itertools.count)

    @property
    def is_suspected(self) -> bool:
        """Whether a request that must not run twice should avoid the path."""
        return len(self.failed | self.silent) >= MIN_FAILED

    @property
    def is_cut(self) -> bool:
        """Whether other hosts are more likely to reach targets."""
        if len(self.failed) >= MIN_FAILED:
            return True
        return self.is_suspected and self.confirmed

    def record_response(self, sent_at: timedelta, now: timedelta) -> None:
        """Record that a target has responded, whatever it said.

        Args:
            sent_at: When the request was sent. What was sent before the path
                became suspected may have arrived before the path failed.
            now: Current time.
        """
        self.received_at = now
        if self.suspected_at is not None and sent_at < self.suspected_at:
            return
        self.failed.clear()
        self.silent.clear()
        self.confirmed = False
        self.suspected_at = None

    def record_failure(self, target: str, now: timedelta) -> None:
        """Record that a target was not reached, or broke off."""
        self.failed.add(target)
        self.silent.discard(target)
        self._update_suspicion(now)

    def record_silence(self, target: str, now: timedelta) -> None:
        """Record that a target accepted a request and sent no byte in time."""
        if target not in self.failed:
            self.silent.add(target)
        self._update_suspicion(now)

    def record_accepted(self, target: str, now: timedelta) -> None:
        """Record that a probe was accepted and not answered in time.

        Connections arrive somewhere, so that the targets that failed before show
        no more than silence does.
        """
        self.silent.update(self.failed, (target,))
        self.failed.clear()
        self._update_suspicion(now)

    def record_peer_report(self, reached: Collection[str]) -> None:
        """Record which targets a peer reached, of those it was asked about.

        A single one may have had a slot for the peer by chance.
        """
        if len((self.failed | self.silent) & set(reached)) >= MIN_FAILED:
            self.confirmed = True

    def start_wait(self, now: timedelta) -> Wait:
        """Record that a request is sent, and return its entry."""
        wait = Wait(next(self.numbers), now)
        self.waits[wait.number] = wait
        return wait

    def end_wait(self, wait: Wait) -> None:
        """Record that a request received a response, or has ended."""
        self.waits.pop(wait.number, None)

    def is_probe_due(self, now: timedelta) -> bool:
        """Return whether targets should be probed now.

        They are once any target has failed, and once a request has waited while
        no target sent a byte.
        """
        since_probe = SLOW_PROBE_INTERVAL
        if self.probed_at is not None:
            since_probe = now - self.probed_at
        if self.failed or self.silent:
            return since_probe >= PROBE_INTERVAL
        return since_probe >= SLOW_PROBE_INTERVAL and self._is_silent(now)

    def delays_hedge(
        self, sent_at: timedelta, due_at: timedelta, now: timedelta
    ) -> bool:
        """Return whether to wait with a hedge until probes show a path.

        On a lost path it would use up an attempt that a peer could make.

        Args:
            sent_at: When the first attempt was sent.
            due_at: When the hedge is due.
            now: Current time.
        """
        if now - due_at >= MAX_HEDGE_DELAY:
            return False
        return self.is_suspected or self.received_at < sent_at

    def _is_silent(self, now: timedelta) -> bool:
        oldest = min(
            (wait.sent_at for wait in self.waits.values()), default=now
        )
        return now - max(oldest, self.received_at) >= SILENCE_LIMIT

    def _update_suspicion(self, now: timedelta) -> None:
        if self.suspected_at is None and self.is_suspected:
            self.suspected_at = now
