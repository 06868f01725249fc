PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: env test lint format demo proofs measure capacity thrift platform

# The environment is made once per requirements.txt.
env: $(VENV)/ready

$(VENV)/ready: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -r requirements.txt
	$(BIN)/python -m pip install -q --no-deps -e .
	touch $@

test: env
	$(BIN)/python -m tests.run

lint: env
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/flake8 dahliashunt tests

format: env
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

# Needed only after a change of the IDL; Debian's thrift-compiler.
thrift:
	thrift --gen py:enum,slots -out dahliashunt/adapters/wire \
	    dahliashunt/adapters/wire/link.thrift
	rm -f dahliashunt/adapters/wire/gen/link/*-remote

demo: env
	$(BIN)/python -m examples.demo

# What must always hold, against real processes: about ten minutes. The
# figures are held against docs/PROOFS.md by hand.
proofs: env
	$(BIN)/python -m tests.play --at-once=4 --times=2
	$(BIN)/python -m pytest tests/test_golden.py
	$(BIN)/python -m tests.combined
	$(BIN)/python -m tests.ablations

# Both example fleets as real processes; some 15 minutes.
measure: env
	$(BIN)/python -m benchmarks.fleet_load poppenhersteld \
	    --out=poppenhersteld-measured.json
	$(BIN)/python -m benchmarks.fleet_load breakyard \
	    --out=breakyard-measured.json
	$(BIN)/python -m benchmarks.entry_path --out=entry-path-measured.json
	$(BIN)/python -m benchmarks.fleet_load tables \
	    poppenhersteld-measured.json breakyard-measured.json

capacity: env
	$(BIN)/python -m benchmarks.capacity

# What the platform's build does, and a check of the settings file that
# SETTINGS names.
platform:
	sh -c "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/system.toml)"
	PYTHONPATH=target/deps DAHLIASHUNT_CONFIG=$(SETTINGS) \
	    $(PYTHON) -m dahliashunt.platform entry --check-settings
