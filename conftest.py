"""Settings of all tests: the same verdict in every run."""

import gc

import pytest
from hypothesis import HealthCheck, settings

settings.register_profile(
    'same-every-run',
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile('same-every-run')


@pytest.fixture(autouse=True, scope='module')
def no_garbage_of_other_modules():
    """Keep what earlier modules left out of the garbage collections.

    A full collection would visit it for up to 0.3 s, while timed tests run.
    """
    gc.unfreeze()
    gc.collect()
    gc.freeze()
