GO ?= go
PACKAGES := ./...

DOCUMENT ?= examples/consortium.ini
SMOKE_SECONDS := 60
BENCH_SECONDS := 300
SHORT_BENCH_SECONDS := 50
HOSTILE := LateCopy|WithoutIDs|SentTwice|Stop|Pings|SlowAttempt|SilentServers|Panic|TestCall|BrokenOff|BrokenStream|WithoutEvents|Pause|Endless|SlowHead|TooLarge|CancelledStream|WithoutLength|PartThatCrashes|HeldRequests|ServersLimits|CopyOfARefusal|IDIsSentOnce|AnotherProtocol

.PHONY: build demo smoke promises hostile bench soak test fuzz lint generate clean

build: ## Builds the programs into bin.
	$(GO) build -o bin/ ./cmd/... ./internal/tools/smoke

demo: build ## Runs the whole system on loopback until Ctrl-C.
	scripts/system.sh $(DOCUMENT) wait

smoke: build ## Runs the whole system and sends it test requests.
	timeout $(SMOKE_SECONDS) scripts/system.sh $(DOCUMENT) scripts/smoke.sh

promises: ## Runs the tests of each promise of docs/PROMISES.md.
	$(GO) run ./internal/tools/promises

hostile: ## Runs the tests of the failures that docs/FAULTS.md lists for similar systems.
	$(GO) test -race -count 1 -run '$(HOSTILE)' ./internal/backend ./internal/follower ./internal/forward ./internal/gateway ./internal/guard ./internal/limit ./internal/rpc

bench: build ## Compares the routing policies under load and faults; SHORT=1 for one short round.
	timeout $(if $(SHORT),$(SHORT_BENCH_SECONDS),$(BENCH_SECONDS)) scripts/bench.sh

test: lint ## The README's test command: format, vet, staticcheck, tests with -race.
	$(GO) run ./internal/tools/redtest -known KNOWN-RED.txt -- -race -timeout 15m $(PACKAGES)

fuzz: ## Fuzzes the reader of servers' answers; at most half a minute. Its seeds run with the tests.
	$(GO) test ./internal/backend -run '^$$' -fuzz FuzzAnswer -fuzztime 20s -parallel 2

lint:
	@unformatted=$$(gofmt -l cmd internal platform); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	$(GO) vet $(PACKAGES)
	$(GO) tool staticcheck $(PACKAGES)

generate: ## Regenerates the RPC code; needs protoc.
	mkdir -p bin/tools
	$(GO) build -o bin/tools/ google.golang.org/protobuf/cmd/protoc-gen-go
	$(GO) build -o bin/tools/ storj.io/drpc/cmd/protoc-gen-go-drpc
	PATH=$(CURDIR)/bin/tools:$$PATH protoc -I internal/rpc/wire \
		--go_out=. --go_opt=module=github.com/wasabigate/wasabigate \
		--go-drpc_out=. --go-drpc_opt=module=github.com/wasabigate/wasabigate \
		wasabigate.proto streams.proto canary.proto

clean:
	rm -rf bin report

soak: ## Runs real gateways under random faults; SEED=1,2,3 sets the seeds, MINUTES=1 the minutes per seed.
	SOAK_SEEDS=$(or $(SEED),1) SOAK_SECONDS=$$(( $(or $(MINUTES),1) * 60 )) $(GO) test -race -v -count 1 -run TestSoak -timeout 12h ./platform
