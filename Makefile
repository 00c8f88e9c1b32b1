# Every target brings its own virtual environment with the pinned versions.
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := packages/plumsaddle-core packages/plumsaddle-hosts packages/plumsaddle-standins
export PYTHONHASHSEED := 0

.PHONY: setup format lint test demo lab soak crashes measure floor moments telling quotas limits \
	notices paths restores slopes generate

setup: $(VENV)/ready

$(VENV)/ready: requirements.txt deploy/requirements.txt $(PACKAGES:%=%/pyproject.toml)
	python3 -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.txt
	$(BIN)/pip install -q --no-deps --no-build-isolation $(PACKAGES:%=-e %)
	touch $@

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

test: setup
	$(BIN)/python -m pytest

demo: setup
	$(BIN)/python -m plumsaddle_standins.demo

# make lab PATTERN=gray SECONDS=15 SEED=1 OUT=gray.png LIMIT=3 NOTICES=1 RESTORES=1 PACED=1 \
#	HERDS=1 HOSTILE=1
PATTERN ?= random
SECONDS ?= 15
SEED ?= 1
OUT ?= lab.png
RUNS ?= 1
lab: setup
	$(BIN)/python -m plumsaddle_standins.lab $(PATTERN) --seconds $(SECONDS) \
		--seed $(SEED) --out $(OUT) $(if $(LIMIT),--limit $(LIMIT)) \
		$(if $(NOTICES),--notices) $(if $(DOWNLOADS),--downloads) \
		$(if $(RESTORES),--restores) \
		$(if $(PIPELINING),--pipelining $(PIPELINING)) $(if $(PACED),--paced) \
		$(if $(HERDS),--herds) $(if $(HOSTILE),--hostile)

# make soak SEED=1 RUNS=50 SECONDS=20 SOAK_HOSTS=3 CALLERS=24
# make soak SOAK_HOSTS=most CALLERS=120 SOAK_OFF=store,targets
SOAK_HOSTS ?= 3
CALLERS ?= 24
SOAK_OFF ?=
soak: setup
	$(BIN)/python -m plumsaddle_standins.soak --seed $(SEED) --runs $(RUNS) \
		--seconds $(SECONDS) --hosts $(SOAK_HOSTS) --callers $(CALLERS) --off "$(SOAK_OFF)"

# make crashes HOSTS=40 SEED=1 RUNS=50
HOSTS ?= 40
crashes: setup
	$(BIN)/python -m plumsaddle_standins.crashes --hosts $(HOSTS) --seed $(SEED) \
		--runs $(RUNS)

measure: setup
	$(BIN)/python -m plumsaddle_standins.measure

floor: setup
	$(BIN)/python -m plumsaddle_standins.floor_model

moments: setup
	$(BIN)/python -m plumsaddle_standins.floor_moments

telling: setup
	$(BIN)/python -m plumsaddle_standins.telling_model

quotas: setup
	$(BIN)/python -m plumsaddle_standins.quota_model

limits: setup
	$(BIN)/python -m plumsaddle_standins.limit_model

notices: setup
	$(BIN)/python -m plumsaddle_standins.notice_model

paths: setup
	$(BIN)/python -m plumsaddle_standins.partition_model

restores: setup
	$(BIN)/python -m plumsaddle_standins.restore_model

slopes: setup
	$(BIN)/python -m plumsaddle_standins.slopes

generate:
	python3 -m venv .venv-generate
	.venv-generate/bin/pip install -q -r requirements-generate.txt
	cd packages/plumsaddle-hosts && ../../.venv-generate/bin/python -m grpc_tools.protoc \
		-I. --python_out=. --plugin=protoc-gen-grpclib_python=../../.venv-generate/bin/protoc-gen-grpclib_python \
		--grpclib_python_out=. plumsaddle_hosts/peers/exchange.proto
