# Commands for developers; README.md says what each is for.
GO ?= go
BIN := bin

.PHONY: test format vet lint build unit demo serve bench bench-fleet bench-rollout bench-transport fuzz clean

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
# The tests of crowds measure processes, so they run alone.
unit:
	$(GO) test -race -count=1 -timeout 20m -skip '^TestCrowd' ./...
	$(GO) test -race -count=1 -timeout 20m -run '^TestCrowd' ./soak

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

# Each fuzz test in turn; what it finds is written below the package's testdata and
# runs with the other tests from then on.
FUZZTIME ?= 20s
fuzz:
	@set -e; for file in $$(grep -rl '^func Fuzz' --include='*_test.go' .); do \
		for name in $$(sed -n 's/^func \(Fuzz[A-Za-z0-9]*\).*/\1/p' $$file); do \
			$(GO) test -run XXX -fuzz "^$$name$$" -fuzztime $(FUZZTIME) ./$$(dirname $$file); \
		done; \
	done

clean:
	rm -rf $(BIN)
