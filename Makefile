# Two commands on a fresh Debian 12 machine: `make demo` and `make test`. Each installs the
# declared packages (packages.txt) when they are missing.
DEPLOYMENT ?= hrdlicka
JOBS ?= $(shell nproc)

.PHONY: demo test build packages bench lint format clean

packages:
	@scripts/install_packages.sh

build: packages
	@cmake --preset release >/dev/null
	@cmake --build --preset release -j $(JOBS)

demo: build
	@scripts/demo.sh $(DEPLOYMENT)

test: build
	@ctest --test-dir build/release --output-on-failure -j $(JOBS)

lint: packages
	@scripts/lint.sh

format:
	@clang-format-16 -i $$(git ls-files '*.h' '*.cc')

clean:
	@rm -rf build
