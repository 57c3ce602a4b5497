#!/usr/bin/env bash
# Measures the routing policies under both workloads. Each run uses a fresh system
# of three routers, twelve engines and three plain services on loopback, with
# small caches and increased rates. Each round runs every policy once per workload.
#
# SHORT=1 runs one short round. POLICIES, WORKLOADS, ROUNDS, PHASES, LOAD, SEED and
# REPORT override the other defaults.
set -euo pipefail
cd "$(dirname "$0")/.."

policies=${POLICIES:-round-robin least-loaded prefix-hash own}
workloads=${WORKLOADS:-consortium association}
report=${REPORT:-report/bench}
if [ "${SHORT:-0}" = 1 ]; then
	rounds=${ROUNDS:-1}
	phases=${PHASES:-warm=700ms,calm=700ms,burst=900ms,crash=400ms,kv-out=400ms,herd=500ms}
else
	rounds=${ROUNDS:-3}
	phases=${PHASES:-warm=2s,calm=2s,burst=2s,crash=1s,kv-out=750ms,herd=750ms}
fi

export ENGINES=12 SERVICES=3 ROUTERS=3
export LOG_LEVEL=${LOG_LEVEL:-warn} DRAIN_TIMEOUT=1s
export BENCH_TIME_SCALE=${TIME_SCALE:-1} BENCH_CACHE_BLOCKS=${CACHE_BLOCKS:-1500} BENCH_PREFILL_RATE=$((20000 * ${TIME_SCALE:-1}))
export ENGINE_FLAGS="--time-scale $BENCH_TIME_SCALE --cache-blocks $BENCH_CACHE_BLOCKS"
export SIDECAR_SETTINGS="max_concurrent = 16"
export BENCH_PHASES=$phases BENCH_LOAD=${LOAD:-0.3} BENCH_SEED BENCH_REPORT BENCH_WORKLOAD POLICY
rate_factor=${RATE_FACTOR:-6}
run_timeout=${RUN_TIMEOUT:-60}

documents=$(mktemp -d)
trap 'rm -rf "$documents"' EXIT
rm -rf "$report"
echo "load average before: $(cut -d' ' -f1-3 /proc/loadavg)"
for ((round = 1; round <= rounds; round++)); do
	for BENCH_WORKLOAD in $workloads; do
		document=$documents/$BENCH_WORKLOAD.ini
		awk -v f="$rate_factor" '$1 == "rate" || $1 == "burst" { $3 *= f } { print }' "examples/$BENCH_WORKLOAD.ini" >"$document"
		for POLICY in $policies; do
			BENCH_SEED=$((${SEED:-1} + round))
			BENCH_REPORT=$report/$BENCH_WORKLOAD-$POLICY-$round
			mkdir -p "$BENCH_REPORT"
			if ! timeout "$run_timeout" scripts/system.sh "$document" scripts/bench-run.sh >"$BENCH_REPORT/output.txt" 2>&1; then
				echo "FAIL $BENCH_REPORT"
				tail -n 5 "$BENCH_REPORT/output.txt"
			fi
		done
	done
done
bin/wasabigate load summary --plots "$report" "$report"/*/report.json | tee "$report/summary.txt"
echo "load average after: $(cut -d' ' -f1-3 /proc/loadavg)"
