# flake8: noqa
"""A host that lost its lease goes on with a batch that has been ended."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))
import bed as b

GROUPS, SIZE = 13, 8
MODEL = 'daka510000'
AWAY_S = 8.0  # for which the store turns one machine away
BUDGET_S = 12.0  # after which the trainer ends its batch
CANCEL_S, CONTACT_S = 3.0, 3.0


async def play(bed):
    models = [f'{MODEL}{number:02d}' for number in range(40)]
    bed.store.put(
        'op',
        'config',
        b.make_manifest(
            3,
            [b.make_rollout_route('lm-pool')],
            [b.make_engine_service('lm-pool', models)],
        ),
    )
    engines = []
    for number, zone in enumerate(('bali', 'danshui')):
        engine = b.Engine(
            bed,
            f'i-{number}',
            'lm-pool',
            zone,
            8,
            models=models,
            events=30,
            gap_s=0.1,
        )
        engines.append(await bed.add_target(engine))
    for zone, count in (('bali', 4), ('danshui', 3), ('sanzhi', 3)):
        for number in range(1, count + 1):
            await bed.add_host(f'edge-{zone}-{number}', zone)
    await bed.start_hosts()
    await bed.wait_until(
        lambda: len(bed.store.find('coordinators')) == 9, 10, 'coordinators'
    )
    await asyncio.sleep(2)

    owner, batch_id = await submit_to_zone(bed, models, 'edge-bali')
    started = bed.now()
    calm_at = started + CONTACT_S
    others = [host for host in bed.hosts if host is not owner]
    await asyncio.sleep(1)
    if bed.trouble:
        bed.note(f'the store turns {owner.name} away, one of ten machines')
        bed.store.turned_away.add(owner.name)
        await asyncio.sleep(AWAY_S)
        bed.store.turned_away.clear()
        bed.note('the store serves all machines again')
        calm_at = bed.now() + CONTACT_S
    await asyncio.sleep(max(0, started + BUDGET_S - bed.now()))
    status, _, _ = await bed.call_front(
        others[-1], 'DELETE', f'/v1/lots/{batch_id}'
    )
    if status != 200:
        raise b.CannotRunError('the batch was not ended')
    ended = bed.now()
    await asyncio.sleep(14)

    limit = max(ended + CANCEL_S, calm_at)
    late = [
        run
        for engine in engines
        for run in engine.runs
        if run['arrived'] > limit and run['id'].startswith(batch_id[:8])
    ]
    for host in bed.hosts:
        for line in host.log_lines('lease lost', 'submission adopted'):
            bed.note(f'log of {host.name}: {line[:200]}')
    if not late:
        return []
    return [
        f'UNASKED: {len(late)} items of {batch_id} reached engines and ran '
        f'{late[0]["arrived"] - ended:.1f} to '
        f'{late[-1]["arrived"] - ended:.1f} s after the '
        'ack of its end; cancelMs is 3000; all machines were in touch'
    ]


async def submit_to_zone(bed, models, prefix):
    """Submit batches of other models until a host of a zone owns one."""
    for number, model in enumerate(models):
        batch_id = f'7c41e0{number:02x}52d6a3f8'
        await bed.submit(
            bed.hosts[-1:],
            batch_id,
            b.make_batch(batch_id, model, GROUPS, SIZE),
        )
        rows = bed.store.find('ownership', f'submission/{batch_id}')
        owner = bed.find_host(rows[f'submission/{batch_id}']['owner'])
        if owner and owner.name.startswith(prefix):
            bed.note(f'{batch_id} is owned by {owner.name}')
            return owner, batch_id
        await bed.call_front(bed.hosts[-1], 'DELETE', f'/v1/lots/{batch_id}')
    raise b.CannotRunError(f'no batch is owned by a host of {prefix}')


b.run_case(FOLDER, play)
