.PHONY: build check test bench demo experiment scale

build:
	go build -o bin/ ./cmd/...

check:
	@test -z "$$(gofmt -l cmd internal ownership)" || (gofmt -l cmd internal ownership; exit 1)
	go vet ./...
	go tool staticcheck ./...

test:
	go test -race $(TESTFLAGS) ./...
	go test $(TESTFLAGS) -run TestModel ./internal/grant

bench:
	go test -run '^$$' -bench . -benchmem ./...

# A whole cell on this machine, under load and faults; fails on any violation.
# DEMOFLAGS=--break=ignore-fences must fail.
demo: build
	bin/shalefork-lab demo $(DEMOFLAGS)

experiment: build
	bin/shalefork-lab experiment $(EXPERIMENTFLAGS)

scale: build
	bin/shalefork-lab scale $(SCALEFLAGS)
