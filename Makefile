# `make test` and `make demo` do all their set-up themselves.
BUILD ?= build
SEED ?= 20261203

.PHONY: all setup build test soak demo bench fuzz format lint
all: build

setup:
	tools/setup

build: setup
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo
	cmake --build $(BUILD)

test: build
	tools/run-tests $(BUILD)

soak: build
	RHUBARBWHARF_BIN=$(BUILD)/app SOAK_SEED=$(SEED) SOAK_SECONDS=$(or $(SECONDS),30) $(BUILD)/test/soak/test_soak

demo: build
	tools/demo $(BUILD)/app
	tools/demo-platform $(BUILD)/app

bench: build
	tools/bench $(BUILD)/app $(SEED)

fuzz: setup
	tools/fuzz

format:
	tools/check-format

lint: setup
	tools/check-lint $(BUILD)
