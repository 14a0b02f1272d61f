# Set-up and the commands that README.md names. VENV may point at an environment
# that already holds the pinned dependencies.
PYTHON ?= python3
VENV ?= .venv
RUN = PYTHONPATH=src $(VENV)/bin/python

.PHONY: demo test lint format binary

$(VENV)/.locked: requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

demo: $(VENV)/.locked
	$(RUN) -m pomeloshift demo

test: $(VENV)/.locked
	$(RUN) -m pytest

lint: $(VENV)/.locked
	$(VENV)/bin/ruff format --check src tests
	$(VENV)/bin/ruff check src tests
	$(VENV)/bin/mypy

format: $(VENV)/.locked
	$(VENV)/bin/ruff format src tests
	$(VENV)/bin/ruff check --fix src tests
