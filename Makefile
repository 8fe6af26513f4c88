# Every target first creates or updates the virtual environment in $(VENV).
VENV ?= .venv
PYTHON ?= python3
LOCK_HASH := $(shell sha256sum requirements.txt | cut -c1-16)
STAMP := $(VENV)/.installed-$(LOCK_HASH)
BIN := $(VENV)/bin

.PHONY: demo test lint format measure soak
SEED ?= 1
SECONDS ?= 60
PROCESSES ?= 7

demo: $(STAMP)
	$(BIN)/python -m standins.demo

test: lint
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/lint-imports --no-cache

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

measure: $(STAMP)
	$(BIN)/python -m measure

soak: $(STAMP)
	$(BIN)/python -m standins.soak --seed $(SEED) --seconds $(SECONDS) --processes $(PROCESSES)

$(STAMP): requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	touch $@
