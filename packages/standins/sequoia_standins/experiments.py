"""Tasks of experiments, and the parts that experiments share."""

from pathlib import Path

import curio
from attrs import define, field, frozen
from sequoia_policy.errors import ServiceError
from sequoia_policy.plan_texts import find_edits
from sequoia_wire.clients import HttpClient
from sequoia_wire.codecs import decode, encode
from sequoia_wire.messages import Address, RequestHead
from sequoia_wire.operations import HostStatus
from sequoia_wire.platform_messages import HostsList, ListedHost, TableQuery
from sequoiactl.clients import AdminClient

from sequoia_standins.deployments import (
    HostPlace,
    Layout,
    Shape,
    demo_key,
)
from sequoia_standins.loads import Credentials, LiveKind
from sequoia_standins.relays import Cut
from sequoia_standins.trainers import TrainerTask

POLL_SECONDS = 0.1
START_SECONDS = 30


class ExperimentError(Exception):
    """An experiment that could not be carried out."""


@frozen
class LoadTask:
    """What the load tool does."""

    addresses: tuple[Address, ...]
    kinds: tuple[LiveKind, ...]
    per_second: float
    seconds: float
    seed: int


@frozen
class TrainerJob:
    """What a trainer process does."""

    task: TrainerTask
    addresses: tuple[Address, ...]
    weight_store: Address
    seed: int


def write_task(file: Path, task: LoadTask | TrainerJob) -> str:
    """Write a task for a process; return the file's name."""
    file.write_bytes(encode(task))
    return str(file)


def make_kinds(shape: Shape) -> tuple[LiveKind, ...]:
    """Return the live calls of a deployment."""
    plan = shape.plan
    own = plan.callers['own-services']
    caller = Credentials(
        shape.caller,
        demo_key('caller', shape.caller),
        shape.label,
    )
    service = Credentials(
        'own-services',
        demo_key('caller', 'own-services'),
        own.labels[0],
    )
    return (
        LiveKind(
            shape.plain_pool,
            caller,
            is_engine=False,
            repeatable=False,
            share=0.4,
        ),
        LiveKind(
            shape.engine_service,
            caller,
            is_engine=True,
            repeatable=True,
            share=0.4,
        ),
        LiveKind(
            shape.read_service,
            service,
            is_engine=False,
            repeatable=True,
            share=0.2,
        ),
    )


@define
class Deployment:
    """A running deployment, seen from outside."""

    layout: Layout
    client: HttpClient = field(factory=HttpClient)

    async def list_hosts(
        self,
        hosts: tuple[HostPlace, ...],
        leaving: tuple[str, ...] = (),
    ) -> None:
        """Tell the hosts list which hosts there are."""
        listed = [
            ListedHost(
                host.name,
                host.domain,
                'entry',
                str(host.http),
                gossip=str(self._gossip_of(host)),
                peer=str(self._peer_of(host)),
            )
            for host in hosts
        ]
        listed.extend(
            ListedHost(
                target.name,
                target.domain,
                target.pool,
                str(target.address),
                leaving=target.name in leaving,
            )
            for target in self.layout.targets
        )
        body = encode(HostsList(tuple(listed)))
        await self.post(self.layout.platform.hosts_list, '/hosts', body)

    async def cut(self, *domains: str) -> None:
        """Cut failure domains off; without any, heal the network."""
        await self.post(self.layout.relay, '/cut', encode(Cut(domains)))

    async def publish_plan(self, plan_text: str = '') -> int:
        """Publish hosts list and plan; wait until all hosts are ready.

        Args:
            plan_text: The plan; by default the example of the shape.
        """
        await self.wait_targets()
        await self.list_hosts(self.layout.hosts)
        await self.wait_store()
        await self.wait_started()
        text = plan_text or self.layout.shape.plan_file.read_text()
        client = self.operator('platform')
        accepted = await client.submit_edits(find_edits('', text))
        await self.wait_ready(accepted.number)
        return accepted.number

    async def wait_store(self) -> None:
        """Wait until the store's process answers."""
        query = encode(TableQuery())
        await self.post(self.layout.platform.store, '/table/read', query)

    async def wait_targets(self) -> None:
        """Wait until all targets answer.

        A host that learns of a target before that counts its failures.
        """
        for target in self.layout.targets:
            await self.fetch(target.address, RequestHead('GET', '/status'))

    async def post(self, address: Address, path: str, body: bytes) -> bytes:
        """Send a POST until the process answers."""
        return await self.fetch(address, RequestHead('POST', path), body)

    async def fetch(
        self,
        address: Address,
        head: RequestHead,
        body: bytes = b'',
    ) -> bytes:
        """Send a request until the process answers.

        Raises:
            ExperimentError: If it takes too long.
        """
        for _ in range(round(START_SECONDS / POLL_SECONDS)):
            try:
                answer = await self.client.fetch(address, head, body)
            except ServiceError:
                await curio.sleep(POLL_SECONDS)
            else:
                return answer.body
        raise ExperimentError(f'{address} does not answer')

    def operator(self, section: str) -> AdminClient:
        """Return a client that acts for the operator of a section."""
        name = self.layout.shape.operators[section]
        addresses = tuple(host.admin for host in self.layout.hosts)
        return AdminClient(addresses, name, demo_key('operator', name))

    async def wait_started(self) -> None:
        """Wait until all hosts answer on their admin address.

        Raises:
            ExperimentError: If they take too long.
        """
        for _ in range(round(START_SECONDS / POLL_SECONDS)):
            if len(await self.read_statuses()) == len(self.layout.hosts):
                return
            await curio.sleep(POLL_SECONDS)
        raise ExperimentError('not all hosts have started')

    async def wait_ready(self, number: int) -> None:
        """Wait until all hosts are ready with a plan.

        Raises:
            ExperimentError: If they take too long.
        """
        for _ in range(round(START_SECONDS / POLL_SECONDS)):
            statuses = await self.read_statuses()
            ready = [
                status
                for status in statuses.values()
                if status.ready and status.plan_number >= number
            ]
            if len(ready) == len(self.layout.hosts):
                return
            await curio.sleep(POLL_SECONDS)
        raise ExperimentError('not all hosts are ready')

    async def find_late(
        self,
        number: int,
        hosts: tuple[HostPlace, ...],
    ) -> list[str]:
        """Return the hosts that do not show a plan in force."""
        statuses = await self.read_statuses()
        in_force = {
            name
            for name, status in statuses.items()
            if status.plan_number >= number
        }
        return [host.name for host in hosts if host.name not in in_force]

    async def read_statuses(self) -> dict[str, HostStatus]:
        """Return the status of each host that answers, by name."""
        statuses = {}
        for host in self.layout.hosts:
            head = RequestHead('GET', '/status')
            try:
                answer = await self.client.fetch(host.admin, head)
            except ServiceError:
                continue
            statuses[host.name] = decode(answer.body, HostStatus)
        return statuses

    def _gossip_of(self, host: HostPlace) -> Address:
        return host.advertised_gossip if self.layout.relayed else host.gossip

    def _peer_of(self, host: HostPlace) -> Address:
        return host.advertised_peer if self.layout.relayed else host.peer
