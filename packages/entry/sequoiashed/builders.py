"""Builds the parts of a host that need more than one line."""

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

MILLISECONDS = 1000  # in a second


def make_state(settings: Settings, clock: Clock) -> HostState:
    """Return the state of a host that has learned nothing yet."""
    chance = random.Random()
    incarnation = round(clock.now().timestamp() * MILLISECONDS)
    own = Member(
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
        chance,
        HttpStore(settings.store, client),
        MemberTable(own, chance, settings.gossip_period),
        client,
    )


def make_router(state: HostState, budget: RetryBudget) -> Router:
    """Return a router with a retry budget of its own."""
    progress = state.settings.progress
    forwarder = Forwarder(
        state.peer_key,
        state.settings.domain,
        state.clock,
        progress,
    )
    sender = TargetSender(state.client, progress)
    preemptor = Preemptor(state.chance)
    state.targets.on_report.append(preemptor.mark_preempted)
    return Router(state, sender, forwarder, preemptor, budget)


def make_limits(settings: Settings) -> ServerLimits:
    """Return the limits of the server for callers and trainers."""
    return ServerLimits(
        settings.header_bytes,
        settings.body_bytes,
        settings.connections,
        settings.progress,
        settings.idle,
    )
