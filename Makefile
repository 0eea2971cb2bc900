.PHONY: fuzz-http process-soak process-mutants install run up down format lint test measure proto soak mutants faults

BIN = .venv/bin
PACKAGES = packages/persimmonpath packages/persimmonpath_daemon packages/persimmonpath_ctl \
  packages/persimmonpath_entry

install: .venv/installed

.venv/installed: requirements.txt $(addsuffix /pyproject.toml,$(PACKAGES))
	"$$(scripts/find-python)" -m venv .venv
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(addprefix --editable ,$(PACKAGES))
	touch .venv/installed

run: install
	$(BIN)/python -m scripts.cell run

up: install
	$(BIN)/python -m scripts.cell up

down: install
	$(BIN)/python -m scripts.cell down

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

test: lint
	$(BIN)/nose2 --verbose

# MODULES limits it to some of placement, scheduling, jobs, requests, tuning,
# membership, cells, capacity.
measure: install
	$(BIN)/python -m bench.measure $(MODULES)

proto: install
	cd packages/persimmonpath_daemon && ../../$(BIN)/python -m grpc_tools.protoc -I. \
	  --python_out=. --pyi_out=. --grpc_python_out=. persimmonpath_daemon/peers.proto

SEED = 1
SECONDS = 40

soak: install
	PYTHONHASHSEED=0 $(BIN)/python -m tests.soak --seed $(SEED) --seconds $(SECONDS)

mutants: install
	PYTHONHASHSEED=0 $(BIN)/python -m tests.mutants

faults: install
	$(BIN)/python -m tests.faults

# The soak has to notice each mechanism of the entry VM that is switched off.
process-mutants: install
	$(BIN)/python -m tests.entry.mutants

# Real processes of the entry VM under random faults, against the stand-ins.
process-soak: install
	$(BIN)/python -m tests.entry.soak --seed $(SEED) --seconds $(SECONDS)

# Random, odd and damaged requests to the entry VM's HTTP server.
fuzz-http: install
	$(BIN)/python -m tests.entry.fuzzhttp --seed $(SEED)
