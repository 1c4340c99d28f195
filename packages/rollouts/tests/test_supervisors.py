"""The log of the event loop shows unexpected errors and no others."""

import logging

import curio
import pytest
from sequoia_policy.errors import Code, ServiceError
from sequoia_rollouts.base.supervisors import ServiceErrorFilter


@pytest.mark.parametrize(
    ('error', 'is_logged'),
    [
        (ServiceError(Code.DEADLINE), False),
        (ValueError('unexpected'), True),
    ],
)
def test_only_unexpected_errors_of_tasks_are_logged(caplog, error, is_logged):
    async def fail():
        raise error

    async def main():
        task = await curio.spawn(fail)
        with pytest.raises(curio.TaskError):
            await task.join()

    log = logging.getLogger('curio.kernel')
    service_errors = ServiceErrorFilter()
    log.addFilter(service_errors)
    try:
        curio.run(main)
    finally:
        log.removeFilter(service_errors)
    assert ('Task Crash' in caplog.text) == is_logged
