"""Tests of what packages may import: decisions stay pure."""

import ast
from pathlib import Path

import pytest

PACKAGES = Path(__file__).parents[2]
ALLOWED = {
    'policy': set(),
    'wire': {'sequoia_policy'},
    'entry': {'sequoia_policy', 'sequoia_wire'},
    'rollouts': {'sequoia_policy', 'sequoia_wire'},
    'operator': {'sequoia_policy', 'sequoia_wire'},
}
OURS = {
    'sequoia_policy': 'policy',
    'sequoia_wire': 'wire',
    'sequoiashed': 'entry',
    'sequoia_rollouts': 'rollouts',
    'sequoiactl': 'operator',
    'sequoia_standins': 'standins',
    'sequoia_bench': 'bench',
}
IMPURE = {
    'asyncio',
    'curio',
    'eliot',
    'h11',
    'os',
    'socket',
    'subprocess',
    'threading',
    'time',
}


def find_modules(package):
    for source in (PACKAGES / package).glob('*/*.py'):
        if source.parent.name != 'tests':
            yield source


def find_imports(source):
    """Return the top-level names of all packages that a module imports."""
    names = set()
    for node in ast.walk(ast.parse(source.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name.partition('.')[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module.partition('.')[0])
    return names


@pytest.mark.parametrize('package', sorted(ALLOWED))
def test_packages_import_only_what_they_may(package):
    own = {name for name, folder in OURS.items() if folder == package}
    forbidden = set(OURS) - ALLOWED[package] - own
    modules = list(find_modules(package))
    assert modules
    for source in modules:
        assert not find_imports(source) & forbidden, source.name


def test_decisions_import_no_socket_loop_or_clock():
    for source in find_modules('policy'):
        assert not find_imports(source) & IMPURE, source.name


def test_decisions_draw_no_random_numbers_of_their_own():
    """Randomness is passed in: no call of the module's own functions."""
    for source in find_modules('policy'):
        for node in ast.walk(ast.parse(source.read_text())):
            if isinstance(node, ast.Attribute) and isinstance(
                node.value,
                ast.Name,
            ):
                if node.value.id == 'random':
                    assert node.attr == 'Random', source.name
