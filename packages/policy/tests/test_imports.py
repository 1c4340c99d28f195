"""Tests of allowed imports and of the purity of the policy package."""

import ast
from pathlib import Path

import pytest

PACKAGES = Path(__file__).parents[2]
ALLOWED_IMPORTS = {
    'policy': set(),
    'wire': {'sequoia_policy'},
    'entry': {'sequoia_policy', 'sequoia_wire'},
    'rollouts': {'sequoia_policy', 'sequoia_wire'},
    'operator': {'sequoia_policy', 'sequoia_wire'},
}
PACKAGE_FOLDERS = {
    'sequoia_policy': 'policy',
    'sequoia_wire': 'wire',
    'sequoiashed': 'entry',
    'sequoia_rollouts': 'rollouts',
    'sequoiactl': 'operator',
    'sequoia_standins': 'standins',
    'sequoia_bench': 'bench',
}
IMPURE_MODULES = {
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
    """Return the top-level names of all imports of a module."""
    names = set()
    for node in ast.walk(ast.parse(source.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name.partition('.')[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module.partition('.')[0])
    return names


@pytest.mark.parametrize('package', sorted(ALLOWED_IMPORTS))
def test_packages_import_only_allowed_packages(package):
    own_names = {
        name for name, folder in PACKAGE_FOLDERS.items() if folder == package
    }
    forbidden = set(PACKAGE_FOLDERS) - ALLOWED_IMPORTS[package] - own_names
    modules = list(find_modules(package))
    assert modules
    for source in modules:
        assert not find_imports(source) & forbidden, source.name


def test_policy_imports_no_module_for_io_threads_or_time():
    for source in find_modules('policy'):
        assert not find_imports(source) & IMPURE_MODULES, source.name


def test_policy_uses_no_global_random_generator():
    """Random generators are passed in: only ``random.Random`` may be used."""
    for source in find_modules('policy'):
        for node in ast.walk(ast.parse(source.read_text())):
            if isinstance(node, ast.Attribute) and isinstance(
                node.value,
                ast.Name,
            ):
                if node.value.id == 'random':
                    assert node.attr == 'Random', source.name
