"""Tests of logs: volume limits and writes that never block."""

import os
import time
from datetime import timedelta

import eliot
import pytest
from sequoia_policy.clocks import ManualClock
from sequoia_wire.logs import OUTPUT, Log, LogBudget, LogKind, start_logs
from sequoia_wire.sinks import MAX_PENDING_BYTES, LineSink, encode_line


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    for fd in (reader, writer):
        os.close(fd)


def test_lines_are_dropped_without_blocking_if_the_pipe_is_not_read(pipe):
    sink = LineSink(pipe[1])
    started = time.monotonic()
    for number in range(20000):
        sink.write({'message_type': 'x', 'number': number, 'pad': 'y' * 90})
    assert time.monotonic() - started < 5
    assert sink.dropped > 0
    assert sink.pending_bytes <= MAX_PENDING_BYTES


def test_pending_lines_are_written_in_order_once_the_pipe_is_read(pipe):
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


def test_writing_to_a_closed_pipe_raises_no_error():
    reader, writer = os.pipe()
    os.close(reader)
    sink = LineSink(writer)
    for number in range(100):
        sink.write({'number': number})
    os.close(writer)


def test_number_of_dropped_lines_is_logged(pipe):
    reader, writer = pipe
    sink = LineSink(writer, dropped=7)
    sink.write({'message_type': 'x'})
    sink.flush()
    sink.flush()
    assert b'"count":7' in os.read(reader, 65536)


def test_failures_are_admitted_while_successes_are_suppressed():
    clock = ManualClock()
    budget = LogBudget(clock.elapsed)
    admitted = {kind: 0 for kind in LogKind}
    for _ in range(300):
        for kind in LogKind:
            admitted[kind] += budget.try_admit(kind.value, kind)
    assert admitted[LogKind.FAILURE] == admitted[LogKind.STATE] == 300
    assert admitted[LogKind.SUCCESS] < 300
    clock.advance(timedelta(seconds=2))
    assert budget.pop_summary() == {
        'success': 300 - admitted[LogKind.SUCCESS],
    }
    assert budget.pop_summary() is None


def reset_output(destination, stream):
    eliot.remove_destination(destination)
    stream.close()
    OUTPUT.sink = None
    OUTPUT.budget = None
    OUTPUT.observer = None


def test_suppressed_events_are_still_observed(pipe):
    clock = ManualClock()
    stream = os.fdopen(os.dup(pipe[1]), 'w')
    output = start_logs(stream, clock.elapsed)
    observed = []
    output.observer = lambda event, fields: observed.append(event.name)
    event = Log('part').event('went well', 'number', kind=LogKind.SUCCESS)
    try:
        for number in range(400):
            event.write(number=number)
    finally:
        reset_output(output.sink.write, stream)
    assert len(observed) == 400
    assert os.read(pipe[0], 65536).count(b'went well') < 400
