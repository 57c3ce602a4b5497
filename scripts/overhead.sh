#!/usr/bin/env bash
# Measures the overhead of a router and a sidecar on a system with one fast engine:
# ENGINES=1 ROUTERS=1 ENGINE_FLAGS="--time-scale 1000 --max-running 1024" \
#   SIDECAR_SETTINGS="max_concurrent = 1024" LOG_LEVEL=warn \
#   scripts/system.sh examples/consortium.ini scripts/overhead.sh
set -euo pipefail
key=$(awk '/demo key:/ { print $NF; exit }' "$WASABIGATE_DOCUMENT")
weights=$(awk '$1 == "weights_version" { print $3; exit }' "$WASABIGATE_DOCUMENT")
sleep 2
bin/overhead -router "${WASABIGATE_ROUTERS%% *}" -engine "${WASABIGATE_BACKENDS%% *}" -key "$key" \
	-model "$WASABIGATE_MODEL" -weights "$weights" -pid "$(cat "$WASABIGATE_RUN/router-0.pid")" \
	-sidecar "$(cat "$WASABIGATE_RUN/engine-0.pid")" "$@"
