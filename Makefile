# Developers' commands. "make check" is all that CI runs.
GO ?= go
SOURCES := $(shell git ls-files '*.go' | grep -v '\.pb\.go$$')

.PHONY: check format vet lint test models build demo capacity

check: format vet lint test models

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

models:
	@if [ -x spec/check.sh ]; then spec/check.sh; fi

demo: build
	./bin/turmericfield demo

# Measures costs against the fleet's size; SIZES=7,100,400,1600 takes minutes.
SIZES ?= 7,100,200,400
capacity: build
	./bin/turmericfield experiment capacity --sizes $(SIZES) --plot bin/capacity.svg
