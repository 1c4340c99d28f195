"""Tests of the operators' command line against running hosts."""

import json

import curio
import pytest
from attrs import evolve
from sequoia_standins.deployments import TAMSUI, demo_key, make_layout
from sequoia_standins.experiments import Deployment
from sequoia_standins.processes import ProcessGroup, start_all

SMALL = evolve(TAMSUI, hosts=3, engines=0, plain_targets=3)


class Operator:
    """Runs `sequoiactl` commands as an operator."""

    def __init__(self, group, layout):
        self.group = group
        self.admin_addresses = ','.join(
            str(host.admin) for host in layout.hosts
        )
        self.command_count = 0

    def run(self, *arguments, operator='lin'):
        """Run a command; return its exit status and output."""
        self.command_count += 1
        name = f'command-{self.command_count}'
        environment = {
            'SEQUOIACTL_ADMIN': self.admin_addresses,
            'SEQUOIACTL_OPERATOR': operator,
            'SEQUOIACTL_KEY': demo_key('operator', operator),
        }
        self.group.start(
            name,
            'sequoiactl',
            *arguments,
            environment=environment,
        )
        status = self.group.wait(name, 30)
        output = (self.group.folder / f'{name}.log').read_text()
        return status, output


@pytest.fixture(scope='module')
def deployment(tmp_path_factory):
    """Yield an operator and the layout of a running deployment."""
    layout = make_layout(SMALL)
    with ProcessGroup(tmp_path_factory.mktemp('operators')) as group:
        start_all(group, layout)
        curio.run(Deployment(layout).publish_plan)
        yield Operator(group, layout), layout


def write_plan(tmp_path, before, after):
    """Write the example plan with a text replacement; return its path."""
    text = SMALL.plan_file.read_text().replace(before, after)
    file = tmp_path / 'plan.yaml'
    file.write_text(text)
    return str(file)


def test_an_edit_is_checked_applied_and_shown_in_the_history(
    deployment, tmp_path
):
    operator, _layout = deployment
    file = write_plan(tmp_path, 'deadline: 5s', 'deadline: 7s')
    assert operator.run('plan', 'check', file)[0] == 0
    status, diff = operator.run('plan', 'diff', file)
    assert status == 0
    assert '+      deadline: 7s' in diff
    assert operator.run('plan', 'apply', file) == (0, 'plan 2 is accepted\n')
    assert operator.run('plan', 'status', '--wait', '12s')[0] == 0
    assert operator.run('plan', 'diff', file) == (0, '')
    status, history = operator.run('plan', 'history', '--json')
    edits = json.loads(history)
    assert [edit['operator'] for edit in edits] == ['chen', 'lin']
    assert [edit['section'] for edit in edits][1] == 'dispatch'


def test_an_operator_may_not_edit_another_teams_section(deployment, tmp_path):
    operator, _layout = deployment
    file = write_plan(tmp_path, 'live_floor: 0.5', 'live_floor: 0.1')
    status, output = operator.run('plan', 'apply', file)
    assert status == 1
    assert 'caller_not_allowed' in output


def test_an_edit_on_an_outdated_base_shows_the_newer_text(deployment, tmp_path):
    operator, _layout = deployment
    file = tmp_path / 'section.yaml'
    file.write_text('dispatch:\n  owner: dispatch\n')
    arguments = ('plan', 'edit', '--section', 'dispatch', '--base', 'old')
    status, output = operator.run(*arguments, str(file))
    assert status == 1
    assert 'plan_conflict' in output
    assert 'chief-app' in output


def test_an_invalid_plan_is_refused_by_check_and_apply(deployment, tmp_path):
    operator, _layout = deployment
    file = write_plan(tmp_path, 'pool: dispatch-app', 'pool: gone')
    status, output = operator.run('plan', 'check', file)
    assert status == 1
    assert output.count("'gone' is unknown") == 2
    assert operator.run('plan', 'apply', file)[0] == 1


def wait_leaving(operator):
    """Poll up to 20 times until targets are leaving; return their names."""
    leaving = set()
    for _ in range(20):
        _status, output = operator.run('host', 'targets', '--json')
        views = json.loads(output)
        leaving = {view['name'] for view in views if view['leaving']}
        if leaving:
            break
    return leaving


def test_hosts_are_listed_and_drained_and_targets_marked_leaving(deployment):
    operator, layout = deployment
    status, hosts = operator.run('host', 'list')
    assert status == 0
    assert hosts.count(' ready ') == 3
    assert operator.run('host', 'leave', 'dispatch-app-1')[0] == 0
    assert wait_leaving(operator) == {'dispatch-app-1'}
    drained = layout.hosts[2]
    assert operator.run('host', 'drain', str(drained.admin))[0] == 0
    assert operator.group.wait(drained.name, 30) == 0


def test_plan_status_reports_an_unresponsive_host(deployment):
    """The host that the previous test drained no longer responds."""
    operator, _layout = deployment
    status, output = operator.run('plan', 'status')
    assert status == 4
    assert 'silent' in output
