VENV := .venv
BIN := $(VENV)/bin
PYTHON := python3.11
PACKAGES := packages/cyclamentally packages/cyclamentally-platform packages/cyclamentally-calls \
	packages/cyclamentally-node packages/cyclamentally-cli packages/cyclamentally-testing platform

.PHONY: install test lint demo clean bench-install bench-charts bench-memory bench-spread bench-calls soak platform-soak fuzz

install: $(VENV)/.installed

$(VENV)/.installed: constraints.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt \
		$(foreach p,$(PACKAGES),-e $(p)) pytest hypothesis rope ruff
	touch $@

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

test: lint
	$(BIN)/python -m pytest

demo: install
	$(BIN)/python -m cyclamentally_testing.demo

clean:
	rm -rf $(VENV) build

bench-install: install
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt \
		matplotlib transitions

bench-charts: bench-install
	$(BIN)/python bench/charts.py

bench-memory: install
	$(BIN)/python bench/imports.py
	$(BIN)/python bench/memory.py

bench-spread: install
	$(BIN)/python bench/spread.py

reference: install
	$(BIN)/python -m cyclamentally_node.reference

bench-calls: install
	$(BIN)/python bench/calls.py

fuzz: install
	FUZZ_EXAMPLES=$${FUZZ_EXAMPLES:-200} $(BIN)/python -m pytest \
		packages/cyclamentally/cyclamentally/tests/test_promises.py

soak: install
	$(BIN)/python bench/soak.py $(SEED) $(SECONDS)

platform-soak: install
	$(BIN)/python -m cyclamentally_adapter.tests.soak $(SEED) $(SECONDS)

bench-capacity: install
	$(BIN)/python bench/capacity.py

plot: bench-install
	$(BIN)/python bench/plot.py
