# Each target does its own set-up in .venv.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/installed

SECONDS ?= 60
SEED ?= 1
BREAK ?=
SEEDS ?= 10
JOBS ?= 2
# Processes that run the tests: more than these don't make the run shorter, as
# it can't be shorter than its longest test.
TEST_JOBS ?= $(shell $(PYTHON) -c 'import os; print(min(8, os.cpu_count()))')

.PHONY: demo test lint types check-format prove bench capacity schema soak

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
		--constraint constraints.txt --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m tools.demo $(if $(KEEP),--keep)

# A worker that has run its share of the tests takes over some of another's.
test: lint types
	$(BIN)/python -m pytest --numprocesses $(TEST_JOBS) --dist worksteal

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 orchidrail standins

types: $(STAMP)
	$(BIN)/mypy

schema: $(STAMP)
	$(BIN)/python -m tools.generate_schema

# Seeds repeat only with a fixed hash seed.
prove: export PYTHONHASHSEED := 0
prove: $(STAMP)
	$(BIN)/python -m proving --seconds $(SECONDS) --seed $(SEED) \
		$(if $(BREAK),--broken $(BREAK))
	$(if $(BREAK),,$(BIN)/python -m proving.real --seed $(SEED))

soak: $(STAMP)
	$(BIN)/python -m soak --seed $(SEED) --seeds $(SEEDS) --jobs $(JOBS)

bench: export PYTHONHASHSEED := 0
bench: $(STAMP)
	$(BIN)/python -m benchmarks.bench --seed $(SEED)
	$(BIN)/python -m benchmarks.processes

capacity: $(STAMP)
	$(BIN)/python -m tools.capacity
