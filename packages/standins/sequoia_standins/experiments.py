"""Task files of experiments, and a client of a running deployment."""

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
    HostEndpoints,
    Layout,
    Shape,
    demo_key,
)
from sequoia_standins.loads import Credentials, LiveKind
from sequoia_standins.relays import Partition
from sequoia_standins.trainers import TrainerTask

POLL_SECONDS = 0.1
START_SECONDS = 30


class ExperimentError(Exception):
    """A process did not respond or become ready in time."""


@frozen
class LoadTask:
    """Task of the load generator; the duration is in seconds."""

    addresses: tuple[Address, ...]
    kinds: tuple[LiveKind, ...]
    per_second: float
    seconds: float
    seed: int


@frozen
class TrainerJob:
    """Task of a trainer process: its workload and the addresses it needs."""

    task: TrainerTask
    addresses: tuple[Address, ...]
    weight_store: Address
    seed: int


def write_task(file: Path, task: LoadTask | TrainerJob) -> str:
    """Write the task file of a process; return its path."""
    file.write_bytes(encode(task))
    return str(file)


def make_kinds(shape: Shape) -> tuple[LiveKind, ...]:
    """Return the kinds of live calls of a deployment."""
    plan = shape.plan
    own_services = plan.callers['own-services']
    app_credentials = Credentials(
        shape.caller,
        demo_key('caller', shape.caller),
        shape.label,
    )
    service_credentials = Credentials(
        'own-services',
        demo_key('caller', 'own-services'),
        own_services.labels[0],
    )
    return (
        LiveKind(
            shape.plain_pool,
            app_credentials,
            is_engine=False,
            repeatable=False,
            share=0.4,
        ),
        LiveKind(
            shape.engine_service,
            app_credentials,
            is_engine=True,
            repeatable=True,
            share=0.4,
        ),
        LiveKind(
            shape.read_service,
            service_credentials,
            is_engine=False,
            repeatable=True,
            share=0.2,
        ),
    )


@define
class Deployment:
    """Client of a running deployment."""

    layout: Layout
    client: HttpClient = field(factory=HttpClient)

    async def publish_hosts(
        self,
        hosts: tuple[HostEndpoints, ...],
        leaving: tuple[str, ...] = (),
    ) -> None:
        """Publish the entry hosts and all targets to the hosts list.

        Args:
            hosts: Entry hosts to list.
            leaving: Names of the targets to mark as leaving.
        """
        entries = [
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
        entries.extend(
            ListedHost(
                target.name,
                target.domain,
                target.pool,
                str(target.address),
                leaving=target.name in leaving,
            )
            for target in self.layout.targets
        )
        body = encode(HostsList(tuple(entries)))
        await self.post(self.layout.platform.hosts_list, '/hosts', body)

    async def partition(self, *domains: str) -> None:
        """Partition failure domains; without any, heal the network."""
        await self.post(self.layout.relay, '/cut', encode(Partition(domains)))

    async def publish_plan(self, plan_text: str = '') -> int:
        """Publish the hosts list and a plan; wait until all hosts are ready.

        Args:
            plan_text: The plan; by default the example plan of the deployment.

        Returns:
            The number of the accepted plan.

        Raises:
            ExperimentError: If a process does not respond or a host does not
                become ready in time.
        """
        await self.wait_targets()
        await self.publish_hosts(self.layout.hosts)
        await self.wait_store()
        await self.wait_started()
        text = plan_text or self.layout.shape.plan_file.read_text()
        client = self.operator_client('platform')
        accepted = await client.submit_edits(find_edits('', text))
        await self.wait_ready(accepted.number)
        return accepted.number

    async def wait_store(self) -> None:
        """Wait until the store responds."""
        query = encode(TableQuery())
        await self.post(self.layout.platform.store, '/table/read', query)

    async def wait_targets(self) -> None:
        """Wait until all targets respond.

        A host that discovers a target before it responds counts failures
        against it.
        """
        for target in self.layout.targets:
            await self.fetch(target.address, RequestHead('GET', '/status'))

    async def post(self, address: Address, path: str, body: bytes) -> bytes:
        """Send a POST request until the process responds.

        Raises:
            ExperimentError: If it does not respond in time.
        """
        return await self.fetch(address, RequestHead('POST', path), body)

    async def fetch(
        self,
        address: Address,
        head: RequestHead,
        body: bytes = b'',
    ) -> bytes:
        """Send a request until the process responds.

        Raises:
            ExperimentError: If it does not respond in time.
        """
        for _ in range(round(START_SECONDS / POLL_SECONDS)):
            try:
                response = await self.client.fetch(address, head, body)
            except ServiceError:
                await curio.sleep(POLL_SECONDS)
            else:
                return response.body
        raise ExperimentError(f'{address} did not respond in time')

    def operator_client(self, section: str) -> AdminClient:
        """Return an admin client with the credentials of a section's operator."""
        name = self.layout.shape.operators[section]
        addresses = tuple(host.admin for host in self.layout.hosts)
        return AdminClient(addresses, name, demo_key('operator', name))

    async def wait_started(self) -> None:
        """Wait until all hosts respond on their admin address.

        Raises:
            ExperimentError: If a host does not respond in time.
        """
        for _ in range(round(START_SECONDS / POLL_SECONDS)):
            if len(await self.read_statuses()) == len(self.layout.hosts):
                return
            await curio.sleep(POLL_SECONDS)
        raise ExperimentError(
            'not all hosts started and responded on their admin address in time'
        )

    async def wait_ready(self, number: int) -> None:
        """Wait until all hosts are ready with a plan of at least this number.

        Raises:
            ExperimentError: If a host is not ready in time.
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
        raise ExperimentError(
            'not all hosts became ready with the published plan in time'
        )

    async def find_outdated(
        self,
        number: int,
        hosts: tuple[HostEndpoints, ...],
    ) -> list[str]:
        """Return the names of hosts without a plan of at least this number."""
        statuses = await self.read_statuses()
        in_force = {
            name
            for name, status in statuses.items()
            if status.plan_number >= number
        }
        return [host.name for host in hosts if host.name not in in_force]

    async def read_statuses(self) -> dict[str, HostStatus]:
        """Return the status of each host that responds, by name."""
        statuses = {}
        for host in self.layout.hosts:
            head = RequestHead('GET', '/status')
            try:
                response = await self.client.fetch(host.admin, head)
            except ServiceError:
                continue
            statuses[host.name] = decode(response.body, HostStatus)
        return statuses

    def _gossip_of(self, host: HostEndpoints) -> Address:
        return (
            host.advertised_gossip
            if self.layout.relayed_platforms
            else host.gossip
        )

    def _peer_of(self, host: HostEndpoints) -> Address:
        return (
            host.advertised_peer if self.layout.relayed_platforms else host.peer
        )
