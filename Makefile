# Every target sets itself up: only Python 3.11, make and pip are assumed.
ROOT := $(dir $(abspath $(lastword $(MAKEFILE_LIST))))
PYTHON ?= python3.11
VENV ?= $(ROOT).venv
TEST_PROCESSES ?= 4
BIN := $(VENV)/bin
PACKAGES := teaselpond-model teaselpond teaselpond-ctl teaselpond-standins

.PHONY: demo run test check bench format clean

$(VENV)/installed: $(ROOT)constraints.txt $(ROOT)requirements-dev.txt $(wildcard $(ROOT)packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	cd $(ROOT) && $(BIN)/pip install --quiet --constraint constraints.txt \
	    --requirement requirements-dev.txt $(foreach p,$(PACKAGES),--editable packages/$(p))
	touch $@

demo: $(VENV)/installed
	$(BIN)/python -m teaselpond_standins demo

run: $(VENV)/installed
	$(BIN)/python -m teaselpond_standins run

check: $(VENV)/installed
	cd $(ROOT) && $(BIN)/ruff format --check packages deploy && $(BIN)/ruff check packages deploy

test: check
	cd $(ROOT) && $(BIN)/python -m pytest --numprocesses=$(TEST_PROCESSES) --dist=loadfile

bench: $(VENV)/installed
	cd $(ROOT) && $(BIN)/python -m teaselpond_standins bench

format: $(VENV)/installed
	cd $(ROOT) && $(BIN)/ruff format packages deploy && $(BIN)/ruff check --fix packages deploy

clean:
	rm -rf $(VENV)
