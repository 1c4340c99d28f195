"""Tests of selecting the log lines that explain an id."""

import orjson
from sequoiactl.cli import app
from sequoiactl.explanations import read_line, read_lines, select_lines
from typer.testing import CliRunner


def make_line(at, host, name, **fields):
    return orjson.dumps(
        {'timestamp': at, 'host': host, 'message_type': name, **fields},
    ).decode()


LINES = [
    make_line(20.0, 'h2', 'submission: submission adopted', submission='s1'),
    make_line(10.0, 'h1', 'submission: submission accepted', submission='s1'),
    make_line(
        10.1,
        'h1',
        'runner: item sent',
        request_id='i1',
        submission='s1',
        target='e1',
    ),
    make_line(
        10.2,
        'h1',
        'runner: item sent',
        request_id='i2',
        submission='s1',
        target='e2',
    ),
    make_line(10.3, 'h1', 'directory: target gone', target='e1'),
    make_line(10.4, 'h3', 'directory: target gone', target='e1'),
    make_line(10.5, 'h1', 'directory: target gone', target='e9'),
    make_line(11.0, 'h1', 'feed: store is away', table='op'),
    make_line(
        21.0, 'h2', 'runner: item done', request_id='i1', submission='s1'
    ),
    make_line(99.0, 'h1', 'feed: store is away', table='op'),
    'a line of another program {',
    '',
]


def explain(searched_id):
    return [
        (line.host, line.name.partition(': ')[2])
        for line in select_lines(read_lines(LINES), searched_id)
    ]


def test_item_lines_of_several_hosts_are_ordered_by_time():
    assert explain('i1') == [
        ('h1', 'submission accepted'),
        ('h1', 'item sent'),
        ('h1', 'target gone'),
        ('h1', 'store is away'),
        ('h2', 'submission adopted'),
        ('h2', 'item done'),
    ]


def test_submission_lines_include_all_its_items():
    names = [name for _host, name in explain('s1')]
    assert names.count('item sent') == 2


def test_unknown_id_selects_no_lines():
    assert explain('none') == []


def test_text_before_the_json_is_ignored():
    line = read_line(f'  3.2 node-1 {LINES[0]}')
    assert line.host == 'h2'
    assert read_line('[1, 2]') is None


def test_explain_reads_files_or_standard_input(tmp_path):
    log = tmp_path / 'h1.log'
    log.write_text('\n'.join(LINES))
    runner = CliRunner()
    by_file = runner.invoke(app, ['explain', 'i1', str(log)])
    by_input = runner.invoke(app, ['explain', 'i1'], input='\n'.join(LINES))
    assert by_file.exit_code == 0
    assert by_file.output == by_input.output
    assert 'target=e1' in by_file.output
    assert runner.invoke(app, ['explain', 'no', str(log)]).exit_code == 1
