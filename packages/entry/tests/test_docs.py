"""Tests that the documentation covers settings, codes and metrics."""

import re
from pathlib import Path

import pytest
from sequoia_policy.errors import Code
from sequoiashed.cli import describe_setting
from sequoiashed.metrics import Metrics
from sequoiashed.settings import SETTINGS

DOCS = Path(__file__).parents[3] / 'docs'


@pytest.mark.parametrize('setting', SETTINGS, ids=lambda setting: setting.name)
def test_every_setting_is_documented(setting):
    assert describe_setting(setting) in (DOCS / 'settings.md').read_text()


def test_every_error_code_is_documented():
    text = (DOCS / 'callers.md').read_text()
    missing = [
        code.value.label for code in Code if f'`{code.value.label}`' not in text
    ]
    assert not missing


def test_every_metric_is_documented():
    text = (DOCS / 'operators.md').read_text()
    names = [metric.name for metric in Metrics().registry.collect()]
    assert names
    for name in names:
        assert f'`{name}`' in text


def test_links_between_documents_resolve():
    pages = (*DOCS.rglob('*.md'), DOCS.parent / 'README.md')
    for page in pages:
        for link in re.findall(r'\]\(([\w./-]+\.md)\)', page.read_text()):
            assert (page.parent / link).exists(), f'{page.name}: {link}'
