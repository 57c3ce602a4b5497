#!/usr/bin/env bash
# Runs the benchmark's phases against the system that system.sh started, and
# injects each phase's fault when the phase starts.
set -euo pipefail
routers=()
for router in $WASABIGATE_ROUTERS; do routers+=(--router "$router"); done
restarted=()
# Unset variables with this prefix, since the daemons read settings from them.
clean=()
for name in $(compgen -e WASABIGATE_); do clean+=(-u "$name"); done
finish() {
	local code=$?
	if [ "$code" != 0 ]; then cp "$WASABIGATE_RUN"/*.log "$BENCH_REPORT"; fi
	for pid in "${restarted[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
}
trap finish EXIT

# Ignores errors: a stand-in that goes down may not respond.
post() { curl -s -o /dev/null -X POST -H 'Content-Type: application/json' -d "$2" "$1/admin/faults" || true; }

restart_routers() {
	for ini in "$WASABIGATE_RUN"/router-*.ini; do
		kill -KILL "$(cat "${ini%.ini}.pid")"
	done
	for ini in "$WASABIGATE_RUN"/router-*.ini; do
		env "${clean[@]}" bin/wasabigated --config "$ini" >>"${ini%.ini}.log" 2>&1 &
		restarted+=($!)
	done
}

phase() { # NAME
	case $1 in
	crash) post "${WASABIGATE_BACKENDS%% *}" '{"crash":true,"down_ms":300}' ;;
	kv-out) post "$WASABIGATE_KV" '{"down":true}' ;;
	kv-router) # the key-value service is down, and one router is killed
		post "$WASABIGATE_KV" '{"down":true}'
		kill -KILL "$(cat "$WASABIGATE_RUN/router-0.pid")"
		;;
	herd)
		post "$WASABIGATE_KV" '{"down":false}'
		restart_routers
		;;
	esac
}

lines=$(mktemp -u)
mkfifo "$lines"
bin/wasabigate load --workload "$BENCH_WORKLOAD" --document "$WASABIGATE_DOCUMENT" "${routers[@]}" --phases "$BENCH_PHASES" \
	--policy "$POLICY" --report "$BENCH_REPORT" --load "$BENCH_LOAD" --seed "$BENCH_SEED" --fresh \
	--engines "$ENGINES" --cache-blocks "$BENCH_CACHE_BLOCKS" --prefill-rate "$BENCH_PREFILL_RATE" >"$lines" &
load=$!
while IFS= read -r line; do
	echo "$line"
	if [[ $line == phase\ * && $line != *sent* ]]; then phase "${line#phase }"; fi
done <"$lines"
rm -f "$lines"
wait "$load"
