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


# Folders of sequoia_rollouts, each with those that it may import from.
FOLDERS = PACKAGES / 'rollouts' / 'sequoia_rollouts'
FOLDER_IMPORTS = {
    'accounts': set(),
    'base': set(),
    'storage': set(),
    'fleet': {'base', 'storage'},
    'targets': {'base', 'storage', 'fleet'},
    'streaming': {'targets'},
    'usage': {'base', 'storage', 'fleet'},
    'live': {'base', 'storage', 'fleet', 'targets', 'streaming', 'usage'},
    'submissions': {'base', 'storage', 'fleet', 'targets', 'streaming'},
    'weights': {'base', 'storage', 'fleet', 'targets'},
    'capacity': {'base', 'storage', 'fleet', 'targets'},
    'process': {
        'accounts',
        'base',
        'capacity',
        'storage',
        'fleet',
        'targets',
        'live',
        'submissions',
        'usage',
        'weights',
    },
}


def find_modules(package):
    for source in (PACKAGES / package).rglob('*.py'):
        if not {'tests', 'build'} & set(source.parts):
            yield source


def find_folder_imports(source):
    """Return the folders of sequoia_rollouts that a module imports from."""
    names = [
        node.module.split('.')
        for node in ast.walk(ast.parse(source.read_text()))
        if isinstance(node, ast.ImportFrom) and node.module
    ]
    return {parts[1] for parts in names if parts[0] == 'sequoia_rollouts'}


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


@pytest.mark.parametrize('folder', sorted(FOLDER_IMPORTS))
def test_folders_of_the_host_import_in_one_direction(folder):
    """Guards against circles between the folders of the host process."""
    modules = list((FOLDERS / folder).glob('*.py'))
    assert modules
    allowed = FOLDER_IMPORTS[folder] | {folder}
    for source in modules:
        assert find_folder_imports(source) <= allowed, source.name


def test_every_folder_of_the_host_has_its_imports_listed():
    folders = {source.parent.name for source in FOLDERS.glob('*/*.py')}
    assert folders == set(FOLDER_IMPORTS)
