# Targets: setup, demo, test, lint, bench, model. Needs Python 3.11, pip and make.
PYTHON ?= python3.11
BIN := .venv/bin
DEPLOYMENT ?= tamsui
EXAMPLES ?= 500
PACKAGES := policy wire rollouts entry operator standins bench

.PHONY: setup demo test lint format bench model

setup: .venv/done

.venv/done: requirements.txt $(PACKAGES:%=packages/%/pyproject.toml)
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet setuptools==84.2.1 wheel==0.48.0
	$(BIN)/pip install --quiet -r requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation \
		$(PACKAGES:%=-e packages/%)
	touch .venv/done

demo: setup
	$(BIN)/sequoia-standin demo --deployment $(DEPLOYMENT)

test: setup
	$(BIN)/pytest

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/flake8 .
	$(BIN)/mypy

format: setup
	$(BIN)/ruff format .

# Searches for orders of events that break a promise, EXAMPLES of them.
model: setup
	EXAMPLES=$(EXAMPLES) $(BIN)/pytest -s packages/rollouts/tests/test_model.py

bench: setup
	$(BIN)/sequoia-bench
