PY := .venv/bin/python
PACKAGES := http wire storage config coord routing observe gateway maps experts daemon cli

.PHONY: regression soak mutations demo test lint format matrix bench-path bench-experts bench-routing bench-control bench-rates

.venv/installed: requirements.txt requirements-dev.txt
	python3 -m venv .venv
	.venv/bin/pip install -q -r requirements-dev.txt
	.venv/bin/pip install -q --no-build-isolation --no-deps $(foreach p,$(PACKAGES),-e packages/$(p)) -e standins
	touch $@

demo: .venv/installed
	$(PY) tools/demo.py

test: .venv/installed
	$(PY) tools/run_tests.py

lint: .venv/installed
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .

format: .venv/installed
	.venv/bin/ruff format -q .
	.venv/bin/ruff check --fix -q .
	.venv/bin/ruff format -q .

mutations: .venv/installed
	$(PY) tools/mutations.py

matrix: .venv/installed
	$(PY) tools/matrix.py

bench-path bench-routing bench-control bench-rates: .venv/installed
	$(PY) tools/$(subst -,_,$@).py

bench-experts: .venv/installed
	$(PY) tools/bench_experts.py
	$(PY) tools/bench_maps.py

# BENCH is the users' program, SITES their site files, OLD the commit to compare with.
regression: .venv/installed
	for site in $(SITES); do $(BENCH) score $$site --quick --why "regression run" || exit 1; done
	$(PY) tools/compare_scores.py $(OLD) $$(git rev-parse --short HEAD)

soak: .venv/installed
	SEED=$(SEED) MINUTES=$(MINUTES) GATEWAYS=$(GATEWAYS) SERVERS=$(SERVERS) GROUP=$(GROUP) LOSS=$(LOSS) FAULTS=$(FAULTS) MUTATION=$(MUTATION) $(PY) tools/run_soak.py
