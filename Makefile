# Developers' commands. "make check" is all that CI runs.
GO ?= go
SOURCES := $(shell git ls-files '*.go' | grep -v '\.pb\.go$$')

.PHONY: check format vet lint test race soak models build demo capacity

check: format vet lint test race models

build:
	$(GO) build -o bin/turmericfield ./cmd/turmericfield

format:
	@out=$$(gofmt -l $(SOURCES)); if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

vet:
	$(GO) vet ./...

lint:
	$(GO) tool staticcheck ./...

test:
	$(GO) test -count=1 ./...

# The packages with goroutines, under the race detector.
race:
	$(GO) test -race -count=1 ./internal/logging ./internal/entry ./internal/server ./internal/peer ./internal/steering ./internal/once

# A long randomised run of all control cores: make soak SEED=7 STEPS=2000
SEED ?= 1
SEEDS ?= 1
STEPS ?= 2000
soak:
	$(GO) test ./internal/fleettest -count=1 -run '^TestSoak$$' -v -timeout 0 -args -soak.seed=$(SEED) -soak.seeds=$(SEEDS) -soak.steps=$(STEPS)

models:
	@if [ -x spec/check.sh ]; then spec/check.sh; fi

demo: build
	./bin/turmericfield demo

# Measures costs against the fleet's size; SIZES=7,100,400,1600 takes minutes.
SIZES ?= 7,100,200,400
capacity: build
	./bin/turmericfield experiment capacity --sizes $(SIZES) --plot bin/capacity.svg
