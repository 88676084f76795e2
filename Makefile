# Targets for developers and CI. See README.md.

MODULES := limpetd limpet limpetlab platform
GOLANGCI := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0

.PHONY: build test format lint vet seeds pages unit alone known-red bench figures generate mutants

# build compiles the four programs into bin/.
build:
	go build -o bin/ ./limpetd ./limpet ./limpetlab ./platform/limpetp

# test is the gate: formatter, linter, vet, seeds, pages, each module alone, all
# tests, the quick benches.
test: format lint vet seeds pages alone unit known-red bench

format:
	@out=$$(gofmt -l $(MODULES)); test -z "$$out" || { echo "gofmt: $$out"; exit 1; }

lint:
	@for m in $(MODULES); do echo "lint $$m"; (cd $$m && $(GOLANGCI) run ./...) || exit 1; done

vet:
	go vet $(addprefix ./,$(addsuffix /...,$(MODULES)))

# seeds checks that property tests have a fixed seed.
seeds:
	@bash .ci/seeds

# pages checks links and that each metric is described.
pages:
	@bash .ci/pages

# alone builds each module without the workspace.
alone:
	@for m in $(MODULES); do (cd $$m && GOWORK=off go build ./...) || exit 1; done

# unit runs all tests but those in KNOWN-RED.txt.
unit:
	@bash .ci/unit

# known-red prints the cases that are known to fail, and fails when one of
# them does not exist.
known-red:
	@bash .ci/known_red

# bench checks the bounds of the quick benches, and compares with the figures of
# the commit before.
bench:
	go run ./limpetlab bench all --quick --seed 1 --json --figures limpetlab/figures.json

# figures renews the figures that bench compares with.
figures:
	go run ./limpetlab bench all --quick --seed 1 --json --write limpetlab/figures.json

# generate makes the committed generated code; it needs protoc,
# protoc-gen-go v1.36 and protoc-gen-go-grpc v1.6.
generate:
	go generate ./limpetd/...
	go test ./limpetd/code ./limpetd/conf -run TestPage -update

# mutants shows that each checker fails when the rule it checks is removed.
mutants:
	bash .ci/mutants
