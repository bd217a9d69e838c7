# Everything here needs Go alone; modules come by go.sum.

VERSION ?= $(shell git describe --always --dirty 2>/dev/null || echo dev)

.PHONY: build test lint run up drill

build:
	mkdir -p bin
	go build -ldflags "-X main.version=$(VERSION)" -o bin/ ./cmd/...

test:
	go test ./...

lint:
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "not gofmt-clean: $$unformatted"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...
	@.ci/pure.sh

# A stand-in fleet, discovery and a router with its edge on loopback.
up: build
	exec bin/lotuslab up

# Is every reading recorded exactly once, whatever happens? Under a minute.
drill: build
	bin/lotuslab drill edge --seed $(or $(SEED),1) --json

# GW_CONFIG names the configuration file; see README.md.
run: build
	exec bin/lotusbend serve
