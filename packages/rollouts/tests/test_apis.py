"""Tests of the calls of the platform's API."""

import curio
import pytest
from api_standin import ApiStandin
from sequoia_platform.apis import PlatformHttpApi, check_status
from sequoia_platform.settings import make_settings
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.verdicts import Verdict
from sequoia_rollouts.fleet.platform_apis import (
    CapacityOrder,
    DutyPermit,
    UsageReport,
)

PERMIT = DutyPermit('h1', 7)
REPORT = UsageReport(353445120, {'hule930': 412, 'fida11': 0})
SETTINGS = {
    'node': 'h1',
    'zone': 'z1',
    'ip': '127.0.103.1',
    'listen.front': '127.0.103.1:1',
    'listen.ready': '127.0.103.1:2',
    'internalPorts': '3,4',
    'platform.address': '127.0.103.1:5',
}


def call_api(use, **options):
    """Return the calls that the API got, and the error of the caller."""

    async def main():
        standin = ApiStandin(**options)
        async with curio.TaskGroup(wait=None) as group:
            standin.server.open()
            await group.spawn(standin.server.run)
            try:
                await use(PlatformHttpApi(standin.server.address))
            except ServiceError as error:
                return standin.calls, error
            return standin.calls, None

    return curio.run(main)


def test_a_report_has_the_fields_and_headers_of_the_page():
    calls, error = call_api(lambda api: api.report_usage(REPORT, PERMIT))
    assert error is None
    call = calls[0]
    assert (call.path, call.holder, call.fence) == ('/usage', 'h1', 7)
    assert call.fields == {
        'window': 353445120,
        'counts': {'hule930': 412, 'fida11': 0},
    }


@pytest.mark.parametrize('reclaimable', [False, True])
def test_an_order_names_the_kind_only_if_it_is_reclaimable(reclaimable):
    order = CapacityOrder('huvo11a', 'duluth', 6, reclaimable=reclaimable)
    calls, error = call_api(lambda api: api.order_targets(order, PERMIT))
    assert error is None
    expected = {'service': 'huvo11a', 'zone': 'duluth', 'groupCount': 6}
    if reclaimable:
        expected['spot'] = True
    assert calls[0].path == '/scale'
    assert calls[0].fields == expected


@pytest.mark.parametrize(
    ('status', 'code', 'verdict'),
    [
        (409, Code.STORE_CONFLICT, Verdict.NOT_RUN),
        (429, Code.OVERLOADED, Verdict.NOT_RUN),
        (503, Code.OVERLOADED, Verdict.NOT_RUN),
        (500, Code.TARGET_BROKE, Verdict.MAY_HAVE_RUN),
        (504, Code.TARGET_BROKE, Verdict.MAY_HAVE_RUN),
    ],
)
def test_a_status_tells_whether_the_call_was_carried_out(status, code, verdict):
    with pytest.raises(ServiceError) as caught:
        check_status('/usage', status)
    assert caught.value.code is code
    assert caught.value.verdict is verdict


@pytest.mark.parametrize('status', [200, 201, 202, 204])
def test_every_success_is_accepted(status):
    """A call that was carried out would be sent again and again."""
    check_status('/usage', status)


def test_a_lost_response_may_have_been_carried_out():
    calls, error = call_api(
        lambda api: api.report_usage(REPORT, PERMIT), to_lose=1
    )
    assert len(calls) == 1
    assert error.verdict is not Verdict.NOT_RUN


def test_a_call_that_is_held_ends():
    """The holder would not send anything else meanwhile."""
    _calls, error = call_api(
        lambda api: api.report_usage(REPORT, PERMIT), is_holding=True
    )
    assert error.verdict is not Verdict.NOT_RUN


def test_a_lower_token_is_a_conflict_where_tokens_are_checked():
    async def use(api):
        await api.report_usage(REPORT, PERMIT)
        await api.report_usage(REPORT, DutyPermit('h2', 6))

    calls, error = call_api(use, requires_fence=True)
    assert error.code is Code.STORE_CONFLICT
    assert [call.status for call in calls] == [200, 409]


def test_settings_name_the_api_and_its_duties():
    settings = make_settings(
        {
            **SETTINGS,
            'cloudApi.address': '127.0.103.1:6',
            'cloudApi.duties': 'usage_report, autoscale',
            'cloudApi.dutyPerS': '3',
            'bounds.reportWindowS': '4',
            'bounds.usageLateS': '9',
        }
    )
    duties = settings.host.duties
    assert str(settings.api) == '127.0.103.1:6'
    assert duties.reports_usage
    assert duties.orders_capacity
    assert duties.call_rate == 3
    assert duties.report_window.total_seconds() == 4
    assert duties.report_limit.total_seconds() == 9


def test_without_settings_no_duty_is_enabled():
    settings = make_settings(SETTINGS)
    assert settings.api is None
    assert not settings.host.duties.reports_usage
    assert not settings.host.duties.orders_capacity


@pytest.mark.parametrize(
    'changes',
    [
        {'cloudApi.dutyPerS': '0'},
        {'bounds.reportWindowS': '0'},
        {'bounds.usageLateS': '-1'},
    ],
)
def test_settings_with_a_rate_or_window_of_zero_cannot_be_used(changes):
    with pytest.raises(ValueError, match='positive'):
        make_settings({**SETTINGS, **changes})
