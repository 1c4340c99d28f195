"""Tests of the stand-in of the store."""

import curio
from store_standin import FEED_POLL_INTERVAL, StoreStandin


def test_feed_returns_row_that_is_written_as_its_wait_ends():
    async def main():
        store = StoreStandin()
        wait = round(FEED_POLL_INTERVAL * 1000)
        query = {'table': 't', 'after': str(store.version), 'waitMs': str(wait)}
        feed = await curio.spawn(store.follow, query)
        await curio.sleep(FEED_POLL_INTERVAL / 2)
        store.put('t', 'row', {})
        status, fields = await feed.join()
        return status, fields['rows']

    status, rows = curio.run(main)
    assert status == 200
    assert [row['key'] for row in rows] == ['row']
