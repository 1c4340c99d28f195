"""Full garbage collections of a host visit only what its work created."""

import gc

import curio
import pytest
from sequoia_platform.ingress import Ingress
from sequoia_rollouts.base.garbage import freeze_objects
from sites import open_site, wait_until


@pytest.fixture(autouse=True)
def unfrozen_objects():
    gc.unfreeze()
    yield
    gc.unfreeze()


class Node:
    def __init__(self):
        self.itself = self


def count_nodes():
    return sum(isinstance(found, Node) for found in gc.get_objects())


def test_only_new_objects_are_visited_and_collected():
    kept = Node()
    freeze_objects()
    assert count_nodes() == 0
    Node()
    assert count_nodes() == 1
    gc.collect()
    assert count_nodes() == 0
    assert kept.itself is kept


def test_running_host_has_frozen_its_components():
    async def main():
        async with open_site(hosts=0) as site:
            host = site.make_host('h1')
            task = await curio.spawn(host.run, Ingress(host).handle)
            await wait_until(lambda: host.is_ready)
            visited = gc.get_objects()
            await host.stop_requested.set()
            await task.join()
            return any(found is host for found in visited)

    assert not curio.run(main)
