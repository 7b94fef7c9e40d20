.PHONY: build demo test ci

build:
	mkdir -p bin
	go build -o bin/ ./cmd/...

demo: build
	./scripts/demo

test:
	go test -race -count=1 -timeout 540s ./...

ci:
	bash .ci/run
