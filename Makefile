# The front door: `make run` shows the whole path, `make test` runs the tests.
GO ?= go

.PHONY: build run test

build:
	$(GO) build -o bin/ . ./cmd/...

run: build
	scripts/demo.sh

test: build
	$(GO) vet ./...
	$(GO) test ./...
