# Targets for developers and CI. See README.md.

MODULES := limpetd limpet limpetlab platform
GOLANGCI := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0

.PHONY: build test format lint vet seeds pages unit alone known-red bench figures generate mutants

# build compiles the four programs into bin/.
build:
	go build -o bin/ ./limpetd ./limpet ./limpetlab ./platform/limpetp

# test runs all checks of a change: formatter, linter, vet, seeds, pages, each
# module alone, all tests, the quick benchmarks.
test: format lint vet seeds pages alone unit known-red bench

format:
	@out=$$(gofmt -l $(MODULES)); test -z "$$out" || { echo "gofmt: $$out"; exit 1; }

lint:
	@for m in $(MODULES); do echo "lint $$m"; (cd $$m && $(GOLANGCI) run ./...) || exit 1; done

vet:
	go vet $(addprefix ./,$(addsuffix /...,$(MODULES)))

# seeds checks that property tests have fixed seeds.
seeds:
	@bash .ci/seeds

# pages checks the links of the pages, and that each metric is documented.
pages:
	@bash .ci/pages

# alone builds each module without the workspace.
alone:
	@for m in $(MODULES); do (cd $$m && GOWORK=off go build ./...) || exit 1; done

# unit runs all tests but those in KNOWN-RED.txt.
unit:
	@bash .ci/unit

# known-red prints the tests that are known to fail, and fails if one of them does
# not exist.
known-red:
	@bash .ci/known_red

# bench checks the bounds of the quick benchmarks, and compares their figures with
# those of the commit before.
bench:
	go run ./limpetlab bench all --quick --seed 1 --json --figures limpetlab/figures.json

# figures updates the figures with which bench compares.
figures:
	go run ./limpetlab bench all --quick --seed 1 --json --write limpetlab/figures.json

# generate updates the committed generated code and pages. Requires protoc,
# protoc-gen-go v1.36 and protoc-gen-go-grpc v1.6.
generate:
	go generate ./limpetd/...
	go test ./limpetd/code ./limpetd/conf -run TestPage -update

# mutants verifies that each checker fails when its rule is removed.
mutants:
	bash .ci/mutants
