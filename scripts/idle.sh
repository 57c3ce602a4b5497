#!/usr/bin/env bash
# Measures the CPU time and memory of the routers and sidecars of an idle system
# over SECONDS_MEASURED (default 20). Run it as a command of system.sh. CHANGES=1
# applies a configuration change every three seconds.
set -euo pipefail
seconds=${SECONDS_MEASURED:-20}
ticks=$(getconf CLK_TCK)

cpu() { awk '{ print $14 + $15 }' "/proc/$1/stat"; } # user and system time in clock ticks
rss() { awk '/^VmRSS/ { print $2 }' "/proc/$1/status"; }

change() {
	local n=0 document revision
	document=$(mktemp)
	while sleep 3; do
		n=$((n + 1))
		sed "0,/^rate = .*/s//rate = $((20000 + n))/" "$WASABIGATE_DOCUMENT" >"$document"
		revision=$(bin/wasabigate --key-value "$WASABIGATE_KV" --environment production config history | awk 'NR == 2 { print $1 }')
		bin/wasabigate --key-value "$WASABIGATE_KV" --environment production config apply --base "$revision" "$document" >/dev/null || true
	done
}

sleep 5
changer=
if [ "${CHANGES:-0}" = 1 ]; then
	change &
	changer=$!
fi
declare -A before
for file in "$WASABIGATE_RUN"/router-*.pid "$WASABIGATE_RUN"/engine-*.pid; do
	before[$file]=$(cpu "$(cat "$file")")
done
sleep "$seconds"
for role in router engine; do
	total=0
	memory=0
	count=0
	for file in "$WASABIGATE_RUN/$role"-*.pid; do
		pid=$(cat "$file")
		total=$((total + $(cpu "$pid") - before[$file]))
		memory=$((memory + $(rss "$pid")))
		count=$((count + 1))
	done
	[ "$role" = engine ] && role=sidecar
	awk -v role="$role" -v count=$count -v total=$total -v ticks="$ticks" -v seconds="$seconds" -v memory=$memory 'BEGIN {
		printf "%s: %d daemons, %.2f%% of a core each, %.1f MB each\n", role, count, 100 * total / ticks / seconds / count, memory / count / 1024 }'
done
[ -n "$changer" ] && kill "$changer"
exit 0
