#!/usr/bin/env bash
# Runs the smoke checks against the system that system.sh started.
set -euo pipefail
router=${WASABIGATE_ROUTERS%% *}
key=$(awk '/demo key:/ { print $NF; exit }' "$WASABIGATE_DOCUMENT")

# route_path KEY VALUE prints the path of the first route that has this setting
# and requires an API key.
route_path() {
	awk -v key="$1" -v value="$2" '
		function flush() { if (path != "" && matched && !open && !found) { print path; found = 1 } }
		/^\[/ { flush(); path = ""; matched = 0; open = 0 }
		/^\[route / { inside = 1 }
		inside && $1 == "path" { path = $3 }
		inside && $1 == key && $3 == value { matched = 1 }
		inside && $1 == "access" && $3 == "open" { open = 1 }
		END { flush() }' "$WASABIGATE_DOCUMENT"
}

lookup=$(route_path method GET)
order=$(route_path once yes)
exec bin/smoke -router "$router" -key "$key" -model "$WASABIGATE_MODEL" \
	-lookup "${lookup%\*}7" -order "$order"
