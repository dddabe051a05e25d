PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
CODE := src tools tests
MINUTES ?= 1

.PHONY: demo test bench experiment capacity cost soak format clean

$(STAMP): requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m tools.demo

test: $(STAMP)
	$(BIN)/black --check --quiet $(CODE)
	$(BIN)/ruff check $(CODE)
	$(BIN)/mypy
	$(BIN)/carawaydoor check examples/orden-claro
	$(BIN)/carawaydoor check examples/boekenkast
	$(BIN)/python -m pytest tests
	$(BIN)/python -m tools.soak --seed 1 --seconds 8 --instances 3
	$(BIN)/python -m tools.soak --seed 2001 --seconds 15 --instances 4 --stutter
	$(BIN)/python -m tools.soak --seed 4204 --seconds 8 --instances 4 --continuations

bench: $(STAMP)
	$(BIN)/python -m tools.bench

experiment: $(STAMP)
	$(BIN)/python -m tools.experiment

capacity: $(STAMP)
	$(BIN)/python -m tools.capacity
	$(BIN)/python -m tools.platform_capacity

cost: $(STAMP)
	$(BIN)/python -m tools.instance_cost

soak: $(STAMP)
	$(BIN)/python -m tools.soak $(if $(SEED),--seed $(SEED),--minutes $(MINUTES))

format: $(STAMP)
	$(BIN)/black $(CODE)
	$(BIN)/ruff check --fix $(CODE)

clean:
	rm -rf $(VENV) build
