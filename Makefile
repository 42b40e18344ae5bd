# Targets for building, testing and checking the project. Tool versions are pinned
# in tools/go.mod.

GO      ?= go
TOOL    := $(GO) tool -modfile=tools/go.mod
BIN     := bin
GOFILES := $(shell git ls-files -co --exclude-standard '*.go' | grep -v 'internal/operator/api/')
JSON    ?=
SEED    ?= 1
SEEDS   ?= 1
DURATION ?= 40s
SHORT   ?=

.PHONY: build test lint vet format generate demo bench soak fuzz

build:
	$(GO) build -o $(BIN)/ ./cmd/... ./test/...

test:
	$(GO) test ./...

lint: vet
	@out="$$($(TOOL) gofumpt -l $(GOFILES))"; if [ -n "$$out" ]; then echo "not formatted (run make format):"; echo "$$out"; exit 1; fi
	$(TOOL) revive -config revive.toml -set_exit_status $(shell $(GO) list -f '{{.Dir}}' ./... | grep -v internal/operator/api)

vet:
	$(GO) vet ./...

format:
	$(TOOL) gofumpt -w $(GOFILES)

generate:
	$(TOOL) ogen --target internal/operator/api --package api --clean api/operator.yaml

demo: build
	$(BIN)/demo $(if $(JSON),--json) $(if $(SHORT),--short)

bench: build
	$(BIN)/bench

soak: build
	$(BIN)/soak --seed=$(SEED) --seeds=$(SEEDS) --duration=$(DURATION)

# Runs are limited by executions: a run limited by time now and then fails with
# "context deadline exceeded", because package internal/fuzz of Go compares the error
# of its expired context with that of a child that is not canceled yet.
# Each number is at least what 5 s gave.
fuzz:
	$(GO) test ./internal/document -run '^$$' -fuzz FuzzParse -fuzztime 325000x
	$(GO) test ./platform -run '^$$' -fuzz FuzzDecodeConfiguration -fuzztime 100000x
	$(GO) test ./internal/message -run '^$$' -fuzz FuzzDecode -fuzztime 500000x
	$(GO) test ./internal/header -run '^$$' -fuzz FuzzCheckResponse -fuzztime 600000x
	$(GO) test ./internal/header -run '^$$' -fuzz FuzzCheckRequest -fuzztime 650000x
