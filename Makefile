VENV ?= .venv
PYTHON ?= python3.11
RUN = $(VENV)/bin/python
# What of these exists; the parts of the tree come one after another.
TYPED = $(wildcard src fakes experiments models platform)
LINTED = $(TYPED) $(wildcard tests)

# Made anew when what is installed changes.
READY = $(VENV)/ready

.PHONY: setup demo serve test lint format soak soak-virtual measure slopes

setup: $(READY)

$(READY): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(RUN) -m pip install --quiet -e '.[dev]'
	touch $(READY)

demo: $(READY)
	$(RUN) -m experiments.demo

serve: $(READY)
	$(RUN) -m experiments.serve

test: $(READY)
	$(RUN) -m tests.run

lint: $(READY)
	$(RUN) -m ruff format --check $(LINTED)
	$(RUN) -m ruff check $(LINTED)
	$(RUN) -m flake8 $(LINTED)
	$(RUN) -m mypy $(TYPED)

format:
	$(RUN) -m ruff format $(LINTED)
	$(RUN) -m ruff check --fix $(LINTED)

# The program that users run, as processes; some ten minutes of real time.
soak: $(READY)
	$(RUN) -m experiments.fleet_soak --seeds 12

# Our own daemon on virtual time, for ten minutes of real time at most.
soak-virtual: $(READY)
	$(RUN) -m experiments.soak --seeds 1000 --hours 0.25 --limit 600

measure:
	$(RUN) -m experiments.load.measure

slopes:
	$(RUN) -m experiments.slopes.hosts
