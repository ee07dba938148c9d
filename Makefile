# Set VENV to use an environment that already exists.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
CODE := src tests bench spec deploy
export PYTHONPATH := $(CURDIR)/src
export PYTHONHASHSEED := 0

.PHONY: demo test format lint types contracts unit

demo: $(VENV)/.ready
	$(BIN)/python -m bench.demo

test: lint types contracts unit

$(VENV)/.ready: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -e '.[dev,bench]'
	touch $@

format: $(VENV)/.ready
	$(BIN)/ruff format $(CODE)
	$(BIN)/ruff check --fix $(CODE)

lint: $(VENV)/.ready
	$(BIN)/ruff format --check $(CODE)
	$(BIN)/ruff check $(CODE)
	$(BIN)/flake8 $(CODE)

types: $(VENV)/.ready
	$(BIN)/mypy $(CODE)

contracts: $(VENV)/.ready
	$(BIN)/lint-imports --no-cache

unit: $(VENV)/.ready
	$(BIN)/python -m pytest
