"""Returns the results and item bodies of submissions."""

import random
from contextlib import suppress
from datetime import timedelta

import curio
from attrs import define
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.submissions import ItemResult
from sequoia_wire.messages import Address
from sequoia_wire.servers import HttpServer

from sequoia_rollouts.targets.directories import Directory
from sequoia_rollouts.fleet.peer_keys import KeyRing
from sequoia_rollouts.submissions.peer_reads import PeerReader, PeerReadServer
from sequoia_rollouts.submissions.result_pages import ResultPage, limit_page
from sequoia_rollouts.submissions.submission_handlers import SubmissionHandler

READ_INTERVAL = timedelta(milliseconds=120)
# Age of the newest response from which other hosts are asked before the store.
STORE_SILENCE = timedelta(milliseconds=2500)
PEER_WAIT = timedelta(milliseconds=300)  # callers have waited for the store


@define
class ResultReader:
    """Reads submissions that any host runs.

    Results come from memory if the submission runs here, else from the store,
    and from other hosts while the store is away.
    """

    clock: Clock
    directory: Directory
    handler: SubmissionHandler
    peer_reader: PeerReader

    async def read(
        self,
        submission_id: str,
        after: int,
        timeout: timedelta,
        account: str | None = None,
    ) -> ResultPage:
        """Return results from a position on; wait for at least one.

        Args:
            submission_id: The submission.
            after: Position of the first result to return.
            timeout: How long to wait for a result.
            account: Client account of the caller, empty for a caller without
                one; None if callers need no keys.

        Raises:
            ServiceError: With code UNKNOWN_STEP only if the store confirms that
                the submission does not exist, or if it is not the account's.
        """
        deadline = self.clock.elapsed() + timeout
        if self._is_store_silent():
            with suppress(ServiceError):
                return await self._read_from_peers(
                    submission_id, after, timeout, account
                )
        try:
            return await self._read(submission_id, after, deadline, account)
        except ServiceError as failure:
            if failure.code is not Code.STORE_UNAVAILABLE:
                raise
            failed = failure
        try:
            return await self._read_from_peers(
                submission_id, after, PEER_WAIT, account
            )
        except ServiceError:
            raise failed from None

    async def read_body(
        self, submission_id: str, item_id: str, account: str | None = None
    ) -> bytes:
        """Return the body of an item.

        Args:
            submission_id: The submission.
            item_id: The item.
            account: Client account of the caller, empty for a caller without
                one; None if callers need no keys.

        Raises:
            ServiceError: With code UNKNOWN_STEP only if the store confirms that
                the submission does not exist, if it is not the account's, or if
                it has no such item.
        """
        if account is not None:
            owned = await self.handler.find(submission_id)
            await self.handler.access.check(owned, account)
        runner = self.handler.runners.get(submission_id)
        if runner:
            submission = runner.submission
        else:
            await self.handler.find(submission_id)
            submission = await self.handler.archive.read_submission(
                submission_id
            )
        item = submission.find_item(item_id)
        if item is None:
            raise ServiceError(Code.UNKNOWN_STEP, item_id)
        return item.body

    async def find_page(
        self, submission_id: str, after: int, timeout: timedelta
    ) -> ResultPage | None:
        """Return stored results of a submission that runs on this host.

        Args:
            submission_id: The submission.
            after: Position of the first result to return.
            timeout: How long to wait for a result.

        Returns:
            None if the submission does not run here.
        """
        runner = self.handler.runners.get(submission_id)
        if runner is None:
            return None
        await runner.recorder.wait(after, timeout)
        results = limit_page(tuple(runner.recorder.stored[after:]))
        submission = runner.submission
        return ResultPage(
            len(submission.items), after, results, submission.account
        )

    def make_peer_server(self, address: Address) -> HttpServer:
        """Return a server of results for other hosts that is not open yet."""
        server = PeerReadServer(
            self.peer_reader.key_ring, self.peer_reader, self.find_page
        )
        return HttpServer(address, server.handle)

    async def _read(
        self,
        submission_id: str,
        after: int,
        deadline: timedelta,
        account: str | None,
    ) -> ResultPage:
        owned = await self.handler.find(submission_id)
        await self.handler.access.check(owned, account)
        total = owned.ownership.total
        results: tuple[ItemResult, ...] = ()
        while after < total and not results:
            results = await self._read_once(submission_id, after, deadline)
            if self.clock.elapsed() + READ_INTERVAL >= deadline:
                break
            if not results:
                await curio.sleep(READ_INTERVAL.total_seconds())
        return ResultPage(total, after, results)

    async def _read_once(
        self,
        submission_id: str,
        after: int,
        deadline: timedelta,
    ) -> tuple[ItemResult, ...]:
        """Return a page of the results that are stored now.

        If the submission runs on this host, wait until ``deadline`` for a
        result.
        """
        runner = self.handler.runners.get(submission_id)
        if runner:
            remaining = deadline - self.clock.elapsed()
            await runner.recorder.wait(after, max(timedelta(), remaining))
            results = tuple(runner.recorder.stored[after:])
            if results:
                return limit_page(results)
        return limit_page(
            await self.handler.archive.read_results(submission_id, after)
        )

    async def _read_from_peers(
        self,
        submission_id: str,
        after: int,
        wait: timedelta,
        account: str | None,
    ) -> ResultPage:
        """Return results that another host has in memory.

        Raises:
            ServiceError: If no host knows them, or if they are not known to be
                the account's.
        """
        page = await self.peer_reader.read(submission_id, after, wait)
        if account is None or page.account in {'', account}:
            return page
        raise ServiceError(Code.STORE_UNAVAILABLE, submission_id)

    def _is_store_silent(self) -> bool:
        """Return whether a call to the store would only cost the caller time."""
        age = self.directory.targets_age()
        return age is not None and age > STORE_SILENCE


def build_result_reader(
    clock: Clock,
    handler: SubmissionHandler,
    key_ring: KeyRing,
    rng: random.Random,
) -> ResultReader:
    """Return a reader of the submissions that a handler knows.

    Args:
        clock: The clock of the host.
        handler: Knows the submissions.
        key_ring: Secrets of the messages to other hosts.
        rng: Chooses hosts.
    """
    peer_reader = PeerReader(handler.ownership, key_ring, rng)
    return ResultReader(clock, handler.directory, handler, peer_reader)
