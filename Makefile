# Every target sets up the virtual environment it needs.
PYTHON ?= python3
BIN := .venv/bin

TESTS := $(patsubst acacialine/tests/%.py,acacialine.tests.%,$(wildcard acacialine/tests/test_*.py))
# Crowds of clients load the machine, so they run alone, after all others.
CROWD_TESTS := acacialine.tests.test_client_limits
# Long tests under a virtual clock; they run beside those with processes.
SIMULATED_TESTS := $(addprefix acacialine.tests.test_,combined_faults contention core_properties \
	evacuation job_fates job_fates_properties kept_jobs load_peak lookahead losses \
	lost_dispatchers placer placer_properties restarted_servers \
	unanswered_orders)
# Of the tests with processes, those that run after the simulated ones, so that
# both halves take about as long.
ZONE_TESTS := acacialine.tests.test_lost_zones
OTHER_TESTS := $(filter-out $(CROWD_TESTS) $(SIMULATED_TESTS) $(ZONE_TESTS),$(TESTS))

.PHONY: setup demo test test-simulated test-others test-crowds lint format fuzz bench clean

setup: .venv/.installed

.venv/.installed: requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/python -m pip install -q --disable-pip-version-check --require-hashes -r requirements.lock
	$(BIN)/python -m pip install -q --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: setup
	$(BIN)/acacialine demo

test: setup
	$(MAKE) -k -j2 --output-sync=target test-simulated test-others; status=$$?; \
	$(MAKE) test-crowds && exit $$status

test-simulated: setup
	$(BIN)/python -m unittest $(SIMULATED_TESTS) $(ZONE_TESTS)

test-others: setup
	$(BIN)/python -m unittest $(OTHER_TESTS)

test-crowds: setup
	$(BIN)/python -m unittest $(CROWD_TESTS)

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
