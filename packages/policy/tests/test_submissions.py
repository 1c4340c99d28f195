"""Tests of the order in which the items of a submission run."""

from datetime import timedelta

from attrs import evolve
from sequoia_policy.submissions import (
    Item,
    Ownership,
    Submission,
    WorkQueue,
    count_wanted_items,
    find_slack,
)


def make_item(number, group, tokens=0):
    return Item(f'i{number}', '/x', group=group, expected_tokens=tokens)


def make_queue(*items):
    return WorkQueue(Submission('s', 'h', '/x/', tuple(items)))


def test_long_items_start_first():
    queue = make_queue(make_item(1, 'a', 5), make_item(2, 'a', 90))
    assert [queue.pop().id, queue.pop().id] == ['i2', 'i1']
    assert queue.pop() is None


def test_items_with_a_result_are_not_run_again():
    queue = make_queue(make_item(1, 'a'), make_item(2, 'b'))
    queue.drop({'i1'})
    assert queue.pop().id == 'i2'
    assert queue.pop() is None


def test_groups_that_are_nearly_whole_come_first():
    items = [make_item(1, 'a'), make_item(2, 'a'), make_item(3, 'b')]
    queue = make_queue(*items, make_item(4, 'b'))
    assert queue.rank_group(items[0]) < queue.rank_group(items[2])
    queue.finish(items[2])
    assert queue.rank_group(items[2]) < queue.rank_group(items[0])


def test_a_result_found_after_a_takeover_counts_for_its_group():
    items = [make_item(1, 'a'), make_item(2, 'b'), make_item(3, 'b')]
    queue = make_queue(*items)
    queue.drop({'i2', 'i3'})
    assert queue.rank_group(items[2]).unfinished == 0


def test_slack_is_that_of_the_newest_step_of_the_model():
    def make_step(accepted, newest, oldest, model='m'):
        return Ownership(
            '',
            accepted=timedelta(seconds=accepted),
            model=model,
            min_version=oldest,
            newest_version=newest,
        )

    steps = [make_step(1, 5, 1), make_step(9, 6, 5), make_step(3, 9, 1)]
    assert find_slack(steps, 'm') == 1
    assert find_slack(steps, 'other') == 0
    assert find_slack([make_step(1, 1, 3)], 'm') == 0


def test_engines_are_ready_for_the_open_steps_or_the_size_of_the_last():
    earlier = Ownership('', 40, model='m0', ended=True)
    later = Ownership('', 24, model='m0', accepted=timedelta(seconds=4))
    other = Ownership('', 90, model='m1', accepted=timedelta(seconds=9))
    open_step = evolve(earlier, ended=False)
    assert count_wanted_items([other], 'm0') is None
    assert count_wanted_items([earlier, later, other], 'm0') == 24
    assert count_wanted_items([open_step, later, other], 'm0') == 64
    ended = evolve(later, ended=True)
    assert count_wanted_items([earlier, ended, other], 'm0') == 24
