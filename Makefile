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

# The figures and their conclusions stand in docs/MEASUREMENTS.md.
bench: build
	$(BIN)/bramley-lab bench $(BENCH)

bench-fleet: build
	$(BIN)/bramley-lab fleet-bench --daemon $(BIN)/bramleyd

bench-rollout: build
	$(BIN)/bramley-lab bench-rollout --daemon $(BIN)/bramleyd

clean:
	rm -rf $(BIN)
