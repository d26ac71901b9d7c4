# Two commands matter: `make demo` and `make test`. Both set up all they need in `.venv`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := $(wildcard packages/*/pyproject.toml)
STAMP := $(VENV)/.installed

.PHONY: demo test check format fuzz measure setup

setup: $(STAMP)

$(STAMP): requirements.lock $(PACKAGES)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation \
		$(foreach package,$(PACKAGES),-e $(dir $(package)))
	touch $(STAMP)

demo: setup
	$(BIN)/damaskwindd demo $(if $(ONCE),--once)

check: setup
	$(BIN)/black --quiet --check packages benchmarks tools
	$(BIN)/ruff check --quiet packages benchmarks tools

test: check
	$(BIN)/python tools/run_tests.py $(ONLY)

format: setup
	$(BIN)/black --quiet packages benchmarks tools
	$(BIN)/ruff check --quiet --fix packages benchmarks tools

fuzz: setup
	$(BIN)/python tools/fuzz.py --seconds $(or $(SECONDS),60)

measure: setup
	$(BIN)/python -m benchmarks.measure --deployment $(or $(DEPLOYMENT),kenanga) \
		$(if $(POLICIES),--policies $(POLICIES)) $(if $(AGAINST),--against $(AGAINST)) \
		$(if $(SEED),--seed $(SEED)) $(if $(FAULT),--fault $(FAULT))
