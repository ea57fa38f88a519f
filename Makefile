.PHONY: build check test fuzz bench demo soak mutations

build:
	go build -o bin/ ./cmd/...

check:
	@test -z "$$(gofmt -l cmd internal ownership platform)" || (gofmt -l cmd internal ownership platform; exit 1)
	go vet ./...
	go tool staticcheck ./...

test:
	go test -race $(TESTFLAGS) ./...

# Each fuzz target for a bounded number of inputs. CI runs their seed inputs as
# tests; this looks for new ones.
FUZZTIME ?= 20000x

fuzz:
	go test -run '^$$' -fuzz FuzzReadLine -fuzztime $(FUZZTIME) ./internal/peerlink
	go test -run '^$$' -fuzz FuzzFollow -fuzztime $(FUZZTIME) ./internal/peerlink
	go test -run '^$$' -fuzz FuzzLoad -fuzztime $(FUZZTIME) ./internal/owner
	go test -run '^$$' -fuzz FuzzRead -fuzztime $(FUZZTIME) -fuzzminimizetime 5x ./internal/bundle
	go test -run '^$$' -fuzz FuzzParseConfig -fuzztime $(FUZZTIME) -fuzzminimizetime 5x ./platform
	go test -run '^$$' -fuzz FuzzParseWorker -fuzztime $(FUZZTIME) ./platform
	go test -run '^$$' -fuzz FuzzHashAPIKeys -fuzztime $(FUZZTIME) -fuzzminimizetime 5x ./platform
	go test -run '^$$' -fuzz FuzzIdentify -fuzztime $(FUZZTIME) ./internal/tenant

bench:
	go test -run '^$$' -bench . -benchmem ./...

# Routers as on the users' platform, against its stand-in, under load and each kind
# of fault in turn; fails on any violation. DEMOFLAGS=--break=ignore-releases must
# fail.
demo: build
	bin/shalefork-lab demo $(DEMOFLAGS)

# The same under random faults, which depend on the seed only.
soak: build
	bin/shalefork-lab soak $(SOAKFLAGS)

# Breaks one safety rule at a time in a copy of the tree; each must make a named
# test fail. See docs/PROOFS.md. It takes minutes and is run by hand.
mutations:
	go run ./internal/lab/mutate $(MUTATIONS)
