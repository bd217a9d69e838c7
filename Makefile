# All targets but sites need only Go and the usual shell tools; go.mod and go.sum
# pin the module versions.

VERSION ?= $(shell git describe --always --dirty 2>/dev/null || echo dev)

.PHONY: build test lint run up drill sites

build:
	mkdir -p bin
	go build -ldflags "-X main.version=$(VERSION)" -o bin/ ./cmd/...

test:
	go test ./...

lint:
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "not gofmt-clean: $$unformatted"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...
	go tool revive -config revive.toml -set_exit_status ./...
	go tool revive -config revive-size.toml -set_exit_status ./...
	@.ci/pure.sh
	@.ci/doc-names.sh

# Runs stand-in database hosts, discovery and a router with its edge on loopback.
up: build
	exec bin/lotuslab up

# Checks that every reading is recorded exactly once under injected faults; takes
# less than a minute.
drill: build
	bin/lotuslab drill edge --seed $(or $(SEED),1) --json

# Runs a router with the configuration file that GW_CONFIG names; see README.md.
run: build
	exec bin/lotusbend serve

# Copies the files that the operators' bench needs next to a site's file from the
# bench's kit; they are not part of the repository.
KIT ?= ../given/kit
sites:
	@[ -f $(KIT)/sites/real.json ] || { echo "make sites: no kit of the operators' bench at $(KIT): name it with KIT=folder"; exit 1; }
	cp $(KIT)/sites/real.json $(KIT)/sites/wire.json $(KIT)/sites/unlock.txt deploy/sites/
