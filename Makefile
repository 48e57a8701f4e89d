VENV ?= .venv
PYTHON ?= python3.11
RUN = $(VENV)/bin/python
# What of these exists; the parts of the tree come one after another.
TYPED = $(wildcard src fakes experiments models platform)
LINTED = $(TYPED) $(wildcard tests)

.PHONY: setup demo serve test lint format soak measure slopes

setup:
	$(PYTHON) -m venv $(VENV)
	$(RUN) -m pip install --quiet -e '.[dev]'

demo:
	$(RUN) -m experiments.demo

serve:
	$(RUN) -m experiments.serve

test:
	$(RUN) -m tests.run

lint:
	$(RUN) -m ruff format --check $(LINTED)
	$(RUN) -m ruff check $(LINTED)
	$(RUN) -m flake8 $(LINTED)
	$(RUN) -m mypy $(TYPED)

format:
	$(RUN) -m ruff format $(LINTED)
	$(RUN) -m ruff check --fix $(LINTED)

# Many seeds, for ten minutes of real time at most.
soak:
	$(RUN) -m experiments.soak --seeds 1000 --hours 0.25 --limit 600

measure:
	$(RUN) -m experiments.measure

slopes:
	$(RUN) -m experiments.slopes
