# Two commands matter: `make demo` and `make test`. Both set up all they need in `.venv`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
STAMP := $(VENV)/.installed

.PHONY: demo test check format fuzz soak measure setup

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
	$(BIN)/black --quiet --check packages platform benchmarks tools
	$(BIN)/ruff check --quiet packages platform benchmarks tools

test: check
	$(BIN)/python tools/run_tests.py $(ONLY)

format: setup
	$(BIN)/black --quiet packages platform benchmarks tools
	$(BIN)/ruff check --quiet --fix packages platform benchmarks tools

fuzz: setup
	$(BIN)/python tools/fuzz.py --seconds $(or $(SECONDS),60)

soak: setup
	$(BIN)/python tools/soak.py --seeds $(or $(SEEDS),1) --seconds $(or $(SECONDS),20) \
		$(if $(SEED),--seed $(SEED)) $(if $(ONLY),--only $(ONLY)) $(if $(BUG),--bug "$(BUG)") \
		$(if $(FOLDER),--folder $(FOLDER)) $(if $(BEFORE_LOST_NEWS),--before-lost-news) $(if $(LOST_DISKS),--lost-disks)

measure: setup
	$(BIN)/python -m benchmarks.measure --deployment $(or $(DEPLOYMENT),kenanga) \
		$(if $(POLICIES),--policies $(POLICIES)) $(if $(AGAINST),--against $(AGAINST)) \
		$(if $(SEED),--seed $(SEED)) $(if $(FAULT),--fault $(FAULT))
