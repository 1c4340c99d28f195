"""In-process engines and scorers for tests of samples."""

from datetime import timedelta

from hosts import (
    add_target,
    listen_http,
)
from sequoia_policy.placements import Placement
from sequoia_policy.schedules import SlotPlan, StepSchedule
from sequoia_standins.engines import (
    EngineFaults,
    EngineStandin,
    EngineTraits,
)
from sequoia_standins.plain_services import PlainStandin, score
from sequoia_wire.platform_messages import (
    TargetStatus,
)
from sequoiashed.steps import OpenStep

TRAINER = 'dispatch-trainer'
MAX_TOKENS = 60
LABEL = Placement('shift-outcome', frozenset(('bali',)))
FAST = EngineTraits(timedelta(microseconds=300), chunk_tokens=4)
SLOW = EngineTraits(timedelta(milliseconds=20), chunk_tokens=2)


def make_engine(name='engine-0', version=1, traits=FAST, **faults):
    status = TargetStatus(name, 1, version=version, loaded=version)
    return EngineStandin(status, 'bali', traits, EngineFaults(**faults))


async def serve(state, engines):
    """Serve engines and a scorer, and add them to a host's targets."""
    tasks = []
    for engine in engines:
        address, task = await listen_http(engine.handle)
        add_target(state, engine.status.name, address, pool='lm-pool')
        tasks.append(task)
    scorer = PlainStandin(
        TargetStatus('scorer-0', 1),
        'bali',
        score,
        timedelta(milliseconds=1),
    )
    address, task = await listen_http(scorer.handle)
    add_target(state, 'scorer-0', address, pool='scorer')
    return [*tasks, task]


def make_step(slots=1):
    planned = {index: SlotPlan(index, 0, MAX_TOKENS) for index in range(slots)}
    schedule = StepSchedule(planned, 0.5)
    return OpenStep(0, LABEL, schedule, ('a prompt',))
