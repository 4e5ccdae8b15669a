# `make run` runs the demos, `make test` runs all checks and tests.
GO ?= go
LINT = $(GO) run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
RAPID = -rapid.checks=300 -rapid.seed=7

.PHONY: build run test unit system soak lint model docs fuzz

build:
	$(GO) build -o bin/ . ./cmd/...

run: build
	scripts/demo.sh
	scripts/demo-edge.sh

test: build lint docs-current unit model system

# Unit tests, with the race detector, and the property-based tests with a fixed seed.
unit:
	scripts/known.sh $(GO) test -race $$($(GO) list ./... | grep -v -e internal/system -e internal/soak -e platform)
	scripts/known.sh $(GO) test ./internal/proc/quorum ./internal/proc/roster ./internal/proc/spread ./internal/proc/quota ./internal/conn ./internal/reqst $(RAPID)

# Tests with real processes: kills, freezes, wiped disks, drains and server faults.
system:
	command -v curl >/dev/null || (apt-get update && apt-get install -y curl)
	scripts/known.sh $(GO) test -timeout 30m ./internal/system ./platform
	scripts/known.sh $(GO) test -timeout 10m ./internal/soak

# Runs real nodes under seeded random faults; prints each violated invariant with its seed.
SEEDS ?= 50
soak: build
	bin/soak -runs $(SEEDS)

lint:
	$(LINT) run ./...

# Checks the Promela models exhaustively; installs spin if it is missing.
model:
	command -v spin >/dev/null || (apt-get update && apt-get install -y spin)
	spec/check.sh

# Regenerates the pages that are generated from the code.
docs: build
	bin/sassafrasring settings schema -o markdown > docs/SETTINGS.md
	bin/sassafrasring events > docs/EVENTS.md
	mkdir -p docs/man && bin/sassafrasring man docs/man

.PHONY: docs-current
docs-current: docs
	git diff --exit-code -- docs/SETTINGS.md docs/EVENTS.md docs/man

fuzz:
	$(GO) test ./internal/proc/disk -fuzz FuzzScan -fuzztime 20s -fuzzminimizetime 10x
	$(GO) test ./internal/proc/store -fuzz FuzzLoad -fuzztime 20s -fuzzminimizetime 10x
	$(GO) test ./internal/conn -fuzz FuzzAnswer -fuzztime 20s -fuzzminimizetime 10x
	$(GO) test ./internal/frame -fuzz FuzzRead -fuzztime 20s -fuzzminimizetime 10x
	$(GO) test ./internal/proc/quorum -fuzz FuzzStep -fuzztime 20s -fuzzminimizetime 10x
	$(GO) test ./internal/node -fuzz FuzzWire -fuzztime 20s -fuzzminimizetime 10x
	$(GO) test ./internal/setup -fuzz FuzzParse -fuzztime 20s -fuzzminimizetime 10x
