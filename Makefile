# Everything here needs Go alone; modules come by go.sum.

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

# A stand-in fleet, discovery and a router with its edge on loopback.
up: build
	exec bin/lotuslab up

# Is every reading recorded exactly once, whatever happens? Under a minute.
drill: build
	bin/lotuslab drill edge --seed $(or $(SEED),1) --json

# GW_CONFIG names the configuration file; see README.md.
run: build
	exec bin/lotusbend serve

# The operators' bench wants its own files beside a site's: they are laid there
# from its kit and stay out of the repository.
KIT ?= ../given/kit
sites:
	@[ -f $(KIT)/sites/real.json ] || { echo "make sites: no kit of the operators' bench at $(KIT): name it with KIT=folder"; exit 1; }
	cp $(KIT)/sites/real.json $(KIT)/sites/wire.json $(KIT)/sites/unlock.txt deploy/sites/
