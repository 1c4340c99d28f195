"""Builds components of a host from its settings."""

import random

from sequoia_policy.budgets import RetryBudget
from sequoia_policy.clocks import Clock
from sequoia_policy.members import Member, MemberTable
from sequoia_wire.clients import HttpClient
from sequoia_wire.exchanges import ServerLimits
from sequoia_wire.stores import HttpStore

from sequoiashed.forwards import Forwarder
from sequoiashed.preemptions import Preemptor
from sequoiashed.routers import Router
from sequoiashed.senders import TargetSender
from sequoiashed.settings import Settings
from sequoiashed.states import HostState

MILLISECONDS_PER_SECOND = 1000


def make_state(settings: Settings, clock: Clock) -> HostState:
    """Return the initial state of a host.

    The start time serves as incarnation, which must rise with each restart.
    """
    rng = random.Random()
    incarnation = round(clock.now().timestamp() * MILLISECONDS_PER_SECOND)
    own_member = Member(
        settings.name,
        settings.domain,
        str(settings.advertised_gossip or settings.gossip),
        str(settings.advertised_peer or settings.peer),
        incarnation,
    )
    client = HttpClient()
    return HostState(
        settings,
        clock,
        rng,
        HttpStore(settings.store, client),
        MemberTable(own_member, rng, settings.gossip_period),
        client,
    )


def make_router(state: HostState, budget: RetryBudget) -> Router:
    """Return a router that spends ``budget`` on retries."""
    progress = state.settings.progress
    forwarder = Forwarder(
        state.peer_key,
        state.settings.domain,
        state.clock,
        progress,
    )
    sender = TargetSender(state.client, progress)
    preemptor = Preemptor(state.rng)
    state.targets.on_report.append(preemptor.mark_preempted)
    return Router(state, sender, forwarder, preemptor, budget)


def make_limits(settings: Settings) -> ServerLimits:
    """Return the server limits for callers and trainers."""
    return ServerLimits(
        settings.header_bytes,
        settings.body_bytes,
        settings.connections,
        settings.progress,
        settings.idle,
    )
