# flake8: noqa
"""A restarted host marks accepted items dead before it has read a manifest."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))
import bed as b

SUBMISSIONS = 4
LOST_PER_HOST = 2
GROUPS, SIZE = 2, 4
MODEL = 'daka510000'


async def play(bed):
    bed.store.put(
        'op',
        'config',
        b.make_manifest(
            3,
            [b.make_rollout_route('lm-pool')],
            [b.make_engine_service('lm-pool', [MODEL])],
        ),
    )
    for number, zone in enumerate(('bali', 'danshui')):
        await bed.add_target(
            b.Engine(
                bed,
                f'i-{number}',
                'lm-pool',
                zone,
                8,
                models=[MODEL],
                events=10,
                gap_s=0.1,
            )
        )
    for zone in ('bali', 'danshui', 'sanzhi'):
        await bed.add_host(f'edge-{zone}-1', zone)
    await bed.start_hosts()
    await bed.wait_until(
        lambda: len(bed.store.find('coordinators')) == 3, 10, 'coordinators'
    )
    await asyncio.sleep(1)

    ids = [f'{number:02d}e09b52d6a3f8aa' for number in range(SUBMISSIONS)]
    for batch_id in ids:
        await bed.submit(
            bed.hosts, batch_id, b.make_batch(batch_id, MODEL, GROUPS, SIZE)
        )
    submitted = bed.now()

    if bed.trouble:
        await trouble(bed)

    broken = []
    for batch_id in ids:
        status, results = await bed.read_results(bed.hosts, batch_id, 12)
        dead = [entry['id'] for entry in results if entry['state'] == 'dead']
        bed.note(
            f'{batch_id}: status {status}, {len(results)} results, '
            f'{len(dead)} dead'
        )
        if dead and bed.now() - submitted < 40:
            broken.append(
                f'{batch_id}: {len(dead)} items are dead '
                f'{bed.now() - submitted:.1f} s after submission; no engine '
                'answered 422 or 500, maxAgeS is 40, the route is there'
            )
    for host in bed.hosts:
        for line in host.log_lines('item dead', 'configuration in force'):
            bed.note(f'log of {host.name}: {line[:200]}')
    return broken


async def trouble(bed):
    """Kill all processes; the store loses some answers after the restart."""
    lost = {host.name: 0 for host in bed.hosts}

    def lose(host, request, fields):
        if request.path != '/v1/rows-get' or fields.get('table') != 'op':
            return False
        lost[host] += 1
        return lost[host] <= LOST_PER_HOST

    for host in bed.hosts:
        host.signal(signal.SIGKILL)
    for host in bed.hosts:
        await host.end()
    before = sum(bed.store.answers.values())
    bed.store.lose = lose
    await asyncio.sleep(1)
    for host in bed.hosts:
        host.start()
    await asyncio.sleep(4.5)
    bed.store.lose = lambda *call: False
    bed.note(
        f'the store lost {sum(bed.store.lost.values())} of '
        f'{sum(bed.store.answers.values()) - before} answers'
    )


b.run_case(FOLDER, play)
