PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SEED ?= 1
MINUTES ?= 5

.PHONY: demo test dist soak soak-gateway bench clean

$(VENV)/.run: requirements/run.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -r requirements/run.txt "setuptools>=68"
	$(BIN)/pip install -q --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

$(VENV)/.dev: $(VENV)/.run requirements/dev.txt
	$(BIN)/pip install -q --disable-pip-version-check -r requirements/dev.txt
	touch $@

demo: $(VENV)/.run
	$(BIN)/bankrack demo $(DEMO)

test: $(VENV)/.dev
	$(BIN)/ruff format --check src platform tests soak benchmarks
	$(BIN)/ruff check src platform tests soak benchmarks
	$(BIN)/mypy
	$(BIN)/python -m tests

clean:
	rm -rf $(VENV) dist build

soak: $(VENV)/.dev
	$(BIN)/python -m soak --seed $(SEED) --minutes $(MINUTES) $(if $(BUG),--bug $(BUG))

soak-gateway: $(VENV)/.dev
	$(BIN)/python -m soak.gateway --seed $(SEED) --minutes $(MINUTES) $(if $(BUG),--bug $(BUG))

SEEDS ?= 1 2 3 4 5 6 7 8 9 10
BENCHES := policies ablations views overload
REPORTS := $(foreach w,derwent letterwerf,$(foreach e,$(BENCHES),$(foreach s,$(SEEDS),reports/$(w)-$(e)-$(s).json)))

# Use -j to run several seeds beside each other.
bench: $(REPORTS)

reports/%.json: $(VENV)/.run
	$(BIN)/bankrack bench run --output $@ \
	  --workload $(word 1,$(subst -, ,$*)) --experiment $(word 2,$(subst -, ,$*)) \
	  --seed $(word 3,$(subst -, ,$*))

# One file; it unpacks to SHIV_ROOT, which belongs on memory (about 20 MB).
dist: $(VENV)/.dev
	rm -rf dist/site && mkdir -p dist/site
	$(BIN)/pip install -q --disable-pip-version-check -r requirements/run.txt --target dist/site
	$(BIN)/pip install -q --disable-pip-version-check --no-deps --no-build-isolation --target dist/site .
	$(BIN)/shiv --site-packages dist/site -c bankrack -p "/usr/bin/env python3" -o dist/bankrack
	rm -rf dist/site build
