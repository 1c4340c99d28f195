"""Tests of log lines: bounded, and never waiting for their reader."""

import os
import time
from datetime import timedelta

import eliot
import pytest
from sequoia_policy.clocks import ManualClock
from sequoia_wire.logs import OUTPUT, Log, LogBudget, LogKind, start_logs
from sequoia_wire.sinks import MOST_BYTES, LineSink, encode_line


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    for number in (reader, writer):
        os.close(number)


def test_a_pipe_that_nobody_reads_costs_lines_and_no_time(pipe):
    sink = LineSink(pipe[1])
    started = time.monotonic()
    for number in range(20000):
        sink.write({'message_type': 'x', 'number': number, 'pad': 'y' * 90})
    assert time.monotonic() - started < 5
    assert sink.dropped > 0
    assert sink.size <= MOST_BYTES


def test_what_waited_is_written_in_order_once_it_is_read(pipe):
    reader, writer = pipe
    sink = LineSink(writer)
    lines = [encode_line({'number': number}) for number in range(9000)]
    for number in range(9000):
        sink.write({'number': number})
    received = b''
    while len(received) < sum(map(len, lines)):
        received += os.read(reader, 65536)
        sink.flush()
    assert received == b''.join(lines)


def test_a_reader_that_went_away_stops_nothing():
    reader, writer = os.pipe()
    os.close(reader)
    sink = LineSink(writer)
    for number in range(100):
        sink.write({'number': number})
    os.close(writer)


def test_dropped_lines_are_counted_in_a_line(pipe):
    reader, writer = pipe
    sink = LineSink(writer, dropped=7)
    sink.write({'message_type': 'x'})
    sink.flush()
    sink.flush()
    assert b'"count":7' in os.read(reader, 65536)


def test_failures_are_written_while_successes_are_left_out():
    clock = ManualClock()
    budget = LogBudget(clock.elapsed)
    admitted = {kind: 0 for kind in LogKind}
    for _ in range(300):
        for kind in LogKind:
            admitted[kind] += budget.admits(kind.value, kind)
    assert admitted[LogKind.FAILURE] == admitted[LogKind.STATE] == 300
    assert admitted[LogKind.SUCCESS] < 300
    clock.advance(timedelta(seconds=2))
    assert budget.take_summary() == {
        'success': 300 - admitted[LogKind.SUCCESS],
    }
    assert budget.take_summary() is None


def reset_output(destination, stream):
    eliot.remove_destination(destination)
    stream.close()
    OUTPUT.sink = None
    OUTPUT.budget = None
    OUTPUT.observer = None


def test_events_are_observed_also_when_they_are_left_out(pipe):
    clock = ManualClock()
    stream = os.fdopen(os.dup(pipe[1]), 'w')
    output = start_logs(stream, clock.elapsed)
    seen = []
    output.observer = lambda event, fields: seen.append(event.name)
    event = Log('part').event('went well', 'number', kind=LogKind.SUCCESS)
    try:
        for number in range(400):
            event.write(number=number)
    finally:
        reset_output(output.sink.write, stream)
    assert len(seen) == 400
    assert os.read(pipe[0], 65536).count(b'went well') < 400
