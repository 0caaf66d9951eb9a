# Commands for developers; README.md says what each is for.
GO ?= go
BIN := bin

.PHONY: test format vet lint build unit demo bench bench-fleet bench-rollout clean

test: format vet lint build unit

format:
	@out=$$(gofmt -l .); test -z "$$out" || { echo "not formatted:"; echo "$$out"; exit 1; }

vet:
	$(GO) vet ./...

lint:
	$(GO) tool staticcheck ./...

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# -count=1: the tests in integration build the programs themselves, so the test
# cache cannot see that these changed.
unit:
	$(GO) test -race -count=1 -timeout 20m ./...

demo: build
	$(BIN)/bramley-lab demo --daemon $(BIN)/bramleyd

serve: build
	$(BIN)/bramley-lab demo --daemon $(BIN)/bramleyd --stay 10m

# The figures and their conclusions stand in docs/MEASUREMENTS.md.
bench: build
	$(BIN)/bramley-lab bench $(BENCH)

bench-fleet: build
	$(BIN)/bramley-lab fleet-bench --daemon $(BIN)/bramleyd

bench-rollout: build
	$(BIN)/bramley-lab bench-rollout --daemon $(BIN)/bramleyd

bench-transport:
	$(GO) test -run xxx -bench Call -benchtime 2s -count 5 ./target
	$(GO) test -run xxx -bench Cancel -benchtime 100x -count 3 ./target
	$(GO) test -run xxx -bench Silent -benchtime 5x -count 3 ./target

clean:
	rm -rf $(BIN)
