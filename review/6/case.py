# flake8: noqa
"""A late write of progress lets a later owner join the texts of two runs.

A round is one step of the trainer: the store answers some writes late for 4.5 s,
then two machines are stopped one after the other, first the one that owns the
step, then the next owner. The case stops after the first round that breaks the
rule.
"""

import asyncio
import os
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib2'))
import bed2 as b2
from bed2 import b

GROUPS, SIZE = 5, 8
MODEL = 'daka510000'
ROUNDS = 3
EVENTS = 181
GAP_S = (0.04, 0.10)  # least and most time between two events
LOST_SHARE, LOST_S = 0.35, 4.5  # of the writes of the store
LATE_S = (1.0, 6.0)  # after which they are carried out
FIRST_STOP_S = 6.0  # after the first late write may happen
SECOND_STOP_S = 0.3  # after the next owner has adopted the step
READ_S = 14
SEED = int(os.environ.get('SEED', '1'))


async def play(bed):
    bed.store.rng = random.Random(SEED)
    bed.store.put(
        'op',
        'config',
        b.make_manifest(
            3,
            [b.make_rollout_route('model-stable')],
            [b.make_engine_service('model-stable', [MODEL])],
        ),
    )
    zones = ('cathedral-sq', 'hagley', 'riccarton')
    for zone in zones:
        for number in (1, 2):
            await bed.add_host(f'edge-{zone}-{number}', zone)
    for number in range(5):
        engine = b2.TaggedEngine(
            bed,
            f'i-{number}',
            'model-stable',
            zones[number % 3],
            8,
            models=(MODEL,),
            events=EVENTS,
            gaps_s=GAP_S,
        )
        await bed.add_target(engine)
    await bed.start_hosts()
    await asyncio.sleep(3)
    broken = []
    for number in range(ROUNDS):
        broken = await play_round(bed, f'7c41e0{number:02x}52d6a3f8')
        if broken:
            break
    for host in bed.hosts:
        for line in host.log_lines('items restored', 'submission adopted'):
            bed.note(f'log of {host.name}: {line[:130]}')
    return broken


async def play_round(bed, batch_id):
    body = b.make_batch(batch_id, MODEL, GROUPS, SIZE)
    await bed.submit(bed.hosts, batch_id, body)
    stopped = await trouble(bed, batch_id) if bed.trouble else []
    serving = [host for host in bed.hosts if host not in stopped]
    _, found = await bed.read_results(serving, batch_id, READ_S)
    bed.note(f'{len(found)} of {GROUPS * SIZE} results were read')
    broken = check(bed, found)
    await bed.call_front(serving[0], 'DELETE', f'/v1/lots/{batch_id}')
    for host in stopped:
        await host.end()
        host.start()
    for host in stopped:
        await bed.wait_until(host.is_ready, 20, f'{host.name} ready')
    return broken


async def trouble(bed, batch_id):
    """Return the machines that were stopped."""
    await asyncio.sleep(1.0)
    bed.store.lose_share, bed.store.late_s = LOST_SHARE, LATE_S
    bed.note('the store leaves writes unanswered and carries them out late')
    await asyncio.sleep(LOST_S)
    bed.store.lose_share = 0
    bed.note('the store answers all writes again')
    await asyncio.sleep(FIRST_STOP_S - LOST_S)
    first = stop_owner(bed, batch_id)
    await bed.wait_until(
        lambda: find_owner(bed, batch_id) not in (None, first), 10, 'an owner'
    )
    await asyncio.sleep(SECOND_STOP_S)
    second = stop_owner(bed, batch_id)
    await bed.wait_until(
        lambda: find_owner(bed, batch_id) not in (None, second), 10, 'an owner'
    )
    return [first, second]


def find_owner(bed, batch_id):
    row = bed.store.find('ownership', f'submission/{batch_id}')
    return bed.find_host(row[f'submission/{batch_id}']['owner'])


def stop_owner(bed, batch_id):
    owner = find_owner(bed, batch_id)
    owner.signal(signal.SIGTERM)
    item = f'{batch_id[:8]}{0:08x}'
    rows = bed.store.find('progress', f'{batch_id}/{item}').values()
    spans = [(row['start'], row['start'] + len(row['events'])) for row in rows]
    bed.note(f'stored progress of {item}, in order of writing: {spans}')
    return owner


def check(bed, found):
    """Return the texts that go on with a run which was not asked to."""
    after = {
        run['number']: int(run['after'] or 0)
        for target in bed.targets
        for run in target.runs
    }
    broken = []
    for result in found:
        if result['state'] != 'completed':
            continue
        lines = result['text'].split('\n')
        pairs = [line.split('-')[1:] for line in lines]
        numbers = [int(number) for number, _ in pairs]
        runs = [int(run) for _, run in pairs]
        if numbers != list(range(1, EVENTS + 1)):
            broken.append(f'ORDER: {result["id"]} has events {numbers}')
        for index in range(1, len(runs)):
            if runs[index] != runs[index - 1]:
                if after[runs[index]] != numbers[index - 1]:
                    broken.append(
                        f'ORDER: the text of {result["id"]} goes on after '
                        f'event {numbers[index - 1]} of run {runs[index - 1]} '
                        f'with run {runs[index]}, which was asked with '
                        f'Last-Event-Id {after[runs[index]]}'
                    )
    return broken


b2.run_case(FOLDER, play)
