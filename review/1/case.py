# flake8: noqa
"""Items of a route that was just added are dead at a host with an old manifest.

The operator adds rollout routes for six trainers at a time, and 0.4 s later
each of them submits its first step through its new route. In rounds of 4.5 s,
with two such changes each, the store loses the answers that a generator of
random numbers draws.
"""

import asyncio
import json
import os
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))
import bed as b

LOSS_SHARE = 0.17  # of the answers of the store
LOSS_SECONDS = 4.5
SEED = int(os.environ.get('SEED', '29'))
ROUNDS = 9
CHANGES = 2  # of the manifest, in each round
TRAINERS = 6  # that each change adds
GROUPS, SIZE = 2, 4
CHANGE_INTERVAL_S = 2.0  # from one manifest to the next
TRAINER_AFTER_S = 0.4  # from the manifest to the first step
MAX_AGE_S = 40


async def play(bed):
    rng = random.Random(SEED)
    models = [f'm{number:03d}' for number in range(ROUNDS * CHANGES * TRAINERS)]
    service = b.make_engine_service('lm-pool', models)
    routes = [b.make_rollout_route('lm-pool')]
    bed.store.put('op', 'config', b.make_manifest(3, routes, [service]))
    for number, zone in enumerate(('bali', 'danshui', 'sanzhi')):
        await bed.add_target(
            b.Engine(
                bed,
                f'i-{number}',
                'lm-pool',
                zone,
                8,
                models=models,
                events=5,
                gap_s=0.05,
            )
        )
    for zone, count in (('bali', 4), ('danshui', 3), ('sanzhi', 3)):
        for number in range(1, count + 1):
            await bed.add_host(f'edge-{zone}-{number}', zone)
    await bed.start_hosts()
    await bed.wait_until(
        lambda: len(bed.store.find('coordinators')) == 9, 10, 'coordinators'
    )
    await asyncio.sleep(1)

    trial = Trial(bed, rng, routes, service, models)
    for _ in range(ROUNDS):
        if await trial.play_round():
            break
    for host in bed.hosts:
        for line in host.log_lines('item dead'):
            bed.note(f'log of {host.name}: {line[:200]}')
    return trial.broken


class Trial:
    """One run of the case: its manifests, its trainers and what broke."""

    def __init__(self, bed, rng, routes, service, models):
        self.bed = bed
        self.rng = rng
        self.routes = routes
        self.service = service
        self.models = models
        self.version = 3
        self.trainers = 0
        self.broken = []

    async def play_round(self):
        """Lose answers for a while, with changes and steps; return the breaks."""
        bed = self.bed
        lost, answers = count_answers(bed)
        started = bed.now()
        if bed.trouble:
            bed.note('the store begins to lose answers')
            bed.store.lose = lambda *call: self.rng.random() < LOSS_SHARE
        steps = []
        for _ in range(CHANGES):
            await asyncio.sleep(TRAINER_AFTER_S)
            numbers = self.add_routes()
            await asyncio.sleep(TRAINER_AFTER_S)
            steps += [bed.spawn(self.play_step(number)) for number in numbers]
            await asyncio.sleep(CHANGE_INTERVAL_S - 2 * TRAINER_AFTER_S)
        await asyncio.sleep(max(0, started + LOSS_SECONDS - bed.now()))
        bed.store.lose = lambda *call: False
        lost_now, answers_now = count_answers(bed)
        bed.note(
            f'the store lost {lost_now - lost} of {answers_now - answers} '
            f'answers in {bed.now() - started:.1f} s'
        )
        await asyncio.gather(*steps)
        return self.broken

    def add_routes(self):
        """Add a route for each of some new trainers; return their numbers."""
        numbers = range(self.trainers, self.trainers + TRAINERS)
        self.trainers += TRAINERS
        self.version += 2
        for number in numbers:
            route = b.make_rollout_route(
                'lm-pool', name=f'n{number}', pathPrefix=f'/n{number}/'
            )
            self.routes.append(route)
        self.bed.store.put(
            'op',
            'config',
            b.make_manifest(self.version, self.routes, [self.service]),
        )
        self.bed.note(f'manifest {self.version} adds {TRAINERS} routes')
        return numbers

    async def play_step(self, number):
        """Submit the first step of a trainer and read its results."""
        batch_id = f'{number:08x}d6a3f8aa'
        if not await self.submit(number, batch_id):
            return
        accepted = self.bed.now()
        owner = self.bed.store.find('ownership')[f'submission/{batch_id}']
        self.bed.note(f'{batch_id} is owned by {owner["owner"]}')
        _, results = await self.bed.read_results(self.bed.hosts, batch_id, 6)
        dead = [entry['id'] for entry in results if entry['state'] == 'dead']
        waited = self.bed.now() - accepted
        if dead and waited < MAX_AGE_S:
            self.broken.append(
                f'MIXED: {len(dead)} items of {batch_id} are dead '
                f'{waited:.1f} s after the 202; no engine answered 422 or '
                f'500, maxAgeS is {MAX_AGE_S}, its route has been there since '
                'before the submission'
            )

    async def submit(self, number, batch_id):
        """Return whether a machine accepts the first step of a trainer.

        Another machine is tried after a 429, a 5xx or no answer; a 404 is
        final.
        """
        body = b.make_batch(batch_id, self.models[number], GROUPS, SIZE)
        headers = {'Attempt-Id': batch_id, 'Content-Type': 'application/json'}
        for host in self.rng.sample(self.bed.hosts, 4):
            status, _, _ = await self.bed.call_front(
                host,
                'POST',
                f'/n{number}/{batch_id}',
                headers,
                json.dumps(body).encode(),
            )
            if status in (202, 404):
                return status == 202
            await asyncio.sleep(0.3)
        return False


def count_answers(bed):
    """Return how many answers the store has lost, and how many it gave."""
    store = bed.store
    return sum(store.lost.values()), sum(store.answers.values())


b.run_case(FOLDER, play)
