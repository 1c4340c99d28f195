# flake8: noqa
"""An owner that was cut off during an outage of the store starts no more items.

A round is one step of a trainer. As soon as its first items run, the store goes
down for all machines and the machine that owns the step loses its path to all
servers; the path comes back first. The case stops after the first round that
breaks the rule.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib2'))
import bed2 as b2
from bed2 import b

GROUPS, SIZE = 13, 8
MODELS = [f'daka510000{number:02d}' for number in range(40)]
ROUNDS = 5
DOWN_S = 3.9  # the store, for all machines
CUT_S = 1.5  # one machine from all servers
BUDGET_S = 12.0  # of the trainer for its step
CONTACT_S, STEADY_S = 3.0, 5.0


async def play(bed):
    bed.store.put(
        'op',
        'config',
        b.make_manifest(
            3,
            [b.make_rollout_route('lm-pool')],
            [b.make_engine_service('lm-pool', MODELS)],
        ),
    )
    zones = ('bali', 'danshui', 'sanzhi')
    for zone, count in zip(zones, (4, 3, 3)):
        for number in range(1, count + 1):
            await bed.add_host(f'edge-{zone}-{number}', zone)
    for number in range(5):
        engine = b.Engine(
            bed,
            f'i-{number}',
            'lm-pool',
            zones[number % 3],
            8,
            models=MODELS,
            events=5,
            gap_s=0.12,
        )
        await bed.add_target(engine)
    await bed.open_paths()
    await bed.start_hosts()
    await bed.wait_until(
        lambda: len(bed.store.find('coordinators')) == 9, 10, 'coordinators'
    )
    await asyncio.sleep(3)
    broken = []
    models = iter(enumerate(MODELS))
    for _ in range(ROUNDS):
        broken = await play_round(bed, models)
        if broken:
            break
    return broken


async def play_round(bed, models):
    owner, batch_id, body, started = await submit(bed, models)
    calm_at = started
    if bed.trouble:
        await trouble(bed, owner)
        calm_at = bed.now() + CONTACT_S
    others = [host for host in bed.hosts if host is not owner]
    _, found = await bed.read_results(
        others, batch_id, started + BUDGET_S - bed.now()
    )
    ended = bed.now()
    bed.note(f'{len(found)} of {GROUPS * SIZE} results were read')
    for line in owner.log_lines('work re', 'work not', 'reached again'):
        bed.note(f'log of {owner.name}: {line[:200]}')
    broken = check(bed, body, found, calm_at, min(ended, started + BUDGET_S))
    await bed.call_front(others[0], 'DELETE', f'/v1/lots/{batch_id}')
    await asyncio.sleep(1)
    return broken


async def submit(bed, models):
    """Submit a step whose owner does not also order the weights."""
    holder = bed.store.find('ownership', 'duty/weights/lm-pool')
    holder = bed.find_host(holder['duty/weights/lm-pool']['owner'])
    for number, model in models:
        batch_id = f'7c41e0{number:02x}52d6a3f8'
        body = b.make_batch(batch_id, model, GROUPS, SIZE)
        started = bed.now()
        await bed.submit(bed.hosts, batch_id, body)
        row = bed.store.find('ownership', f'submission/{batch_id}')
        owner = bed.find_host(row[f'submission/{batch_id}']['owner'])
        if owner is not holder:
            bed.note(f'{batch_id} is owned by {owner.name}')
            ids = {item['id'] for item in body['requests']}
            await bed.wait_until(
                lambda: any(run['id'] in ids for run in all_runs(bed)),
                5,
                'a first item',
            )
            return owner, batch_id, body, started
        await bed.call_front(bed.hosts[0], 'DELETE', f'/v1/lots/{batch_id}')
        await asyncio.sleep(1)
    raise b.CannotRunError('each owner orders the weights too')


def all_runs(bed):
    return [run for target in bed.targets for run in target.runs]


async def trouble(bed, owner):
    bed.store.down = True
    down_at = bed.now()
    bed.note('the store is down for all machines (503)')
    bed.cut(owner)
    await asyncio.sleep(CUT_S)
    await bed.heal(owner)
    await asyncio.sleep(max(0, down_at + DOWN_S - bed.now()))
    bed.store.down = False
    bed.note('the store serves all machines again')


def check(bed, body, found, calm_at, ended):
    """Return the items that were at no engine for 5 s of steady state.

    Not counted are items that an engine has finished.
    """
    wanted = {item['id'] for item in body['requests']}
    begun = {run['id'] for run in all_runs(bed)} & wanted
    steady = ended - calm_at
    bed.note(
        f'{len(begun)} of {len(wanted)} items were at an engine; '
        f'{steady:.2f} s of steady state before the time of the step was up'
    )
    missing = wanted - begun
    if len(found) == len(wanted) or not missing or steady < STEADY_S:
        return []
    return [
        f'LOST: the step ran out of time; {len(missing)} of {len(wanted)} '
        f'items were at no engine, for {steady:.2f} s of steady state'
    ]


b2.run_case(FOLDER, play)
