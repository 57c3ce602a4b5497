#!/usr/bin/env bash
# Runs the smoke checks against the system that system.sh has started.
set -euo pipefail
router=${WASABIGATE_ROUTERS%% *}
key=$(awk '/demo key:/ { print $NF; exit }' "$WASABIGATE_DOCUMENT")
exec bin/smoke -router "$router" -key "$key" -model "$WASABIGATE_MODEL" "$@"
