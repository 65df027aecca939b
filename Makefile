GO ?= go
TOOL = $(GO) tool -modfile=tools/go.mod
PKGS = ./...

.PHONY: build lint fmt test shares slopes bench

build:
	$(GO) build -o bin/ ./cmd/...

fmt:
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); exit 1; }

lint:
	$(GO) vet $(PKGS)
	$(TOOL) staticcheck $(PKGS)
	$(TOOL) revive -config revive.toml -formatter plain -exclude internal/peer/peer.pb.go -exclude internal/peer/peer.twirp.go $(PKGS)

test:
	$(GO) test -count=1 ./...

slopes:
	$(GO) run ./cmd/bench slopes

bench:
	$(GO) run ./cmd/bench table

shares:
	@$(GO) run ./cmd/bench shares
