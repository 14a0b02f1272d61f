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

# One file with every role. It needs a Python 3.11 on the instance and unpacks once
# below SHIV_ROOT, which may be a tmpfs.
binary: dist/pomeloshift

dist/pomeloshift: $(VENV)/.locked $(shell find src -name '*.py' -o -name '*.jsonc')
	rm -rf build/site && mkdir -p build/site dist
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-deps \
		--target build/site -r requirements-run.lock
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-deps \
		--no-build-isolation --target build/site .
	$(VENV)/bin/shiv --site-packages build/site --compressed --reproducible \
		--python '/usr/bin/env python3' --entry-point pomeloshift.cli:main \
		--output-file $@
