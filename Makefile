# Every target sets up the virtual environment it needs.
PYTHON ?= python3
BIN := .venv/bin

.PHONY: setup demo test lint format fuzz bench clean

setup: .venv/.installed

.venv/.installed: requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/python -m pip install -q --disable-pip-version-check --require-hashes -r requirements.lock
	$(BIN)/python -m pip install -q --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: setup
	$(BIN)/acacialine demo

test: setup
	$(BIN)/python -m unittest discover -s acacialine/tests -t .

lint: setup
	$(BIN)/ruff format --check acacialine
	$(BIN)/ruff check acacialine

format: setup
	$(BIN)/ruff format acacialine
	$(BIN)/ruff check --fix acacialine

fuzz: setup
	ACACIALINE_FUZZ=1 $(BIN)/python -m unittest -v acacialine.tests.test_core_properties
	ACACIALINE_EXAMPLES=10000 $(BIN)/python -m unittest -v acacialine.tests.test_fuzz acacialine.tests.test_httppool acacialine.tests.test_httpserver

bench: setup
	$(BIN)/acacialine bench run --deployment baekdu --scenario steady --seconds 10 --seed 1

clean:
	rm -rf .venv build *.egg-info
