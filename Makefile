# Two commands on a fresh Debian 12 machine: `make demo` and `make test`. Each installs the
# declared packages (packages.txt) when they are missing.
DEPLOYMENT ?= hrdlicka
JOBS ?= $(shell nproc)

.PHONY: demo test build packages bench experiments soak soak-faults soak-refusals lint format clean

packages:
	@scripts/install_packages.sh

build: packages
	@cmake --preset release >/dev/null
	@cmake --build --preset release -j $(JOBS)

demo: build
	@scripts/demo.sh $(DEPLOYMENT)

test: build
	@grep -vE '^ *(#|$$)' KNOWN-RED.txt | sed 's/^/known red, passed over: /' || true
	@ctest --test-dir build/release --output-on-failure -j $(JOBS) -E "$$(scripts/known_red.sh)"

bench: build
	@build/release/bench/decision_bench --benchmark_min_time=0.1
	@build/release/bench/fleet_bench --benchmark_min_time=0.1
	@build/release/bench/request_path_bench
	@build/release/bench/gateway_path_bench

experiments: build
	@scripts/experiments.sh

soak: build
	@scripts/soak.sh hrdlicka 150
	@scripts/soak.sh carpatica 150

SEED ?= 1
MINUTES ?= 2
soak-refusals: build
	@REFUSALS=2 scripts/soak_faults.sh $(SEED) $$(($(MINUTES) * 60)) 7

soak-faults: build
	@scripts/soak_faults.sh $(SEED) $$(($(MINUTES) * 60))

lint: packages
	@scripts/lint.sh

format:
	@clang-format-16 -i $$(git ls-files '*.h' '*.cc')

clean:
	@rm -rf build
