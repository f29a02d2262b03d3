VENV ?= .venv
PYTHON := $(VENV)/bin/python

.PHONY: setup test lint format demo clean

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml requirements.lock
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

test: setup
	$(PYTHON) -m tools.run_tests

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

demo: setup
	$(PYTHON) -m examples.demo

clean:
	rm -rf $(VENV)
