#!/usr/bin/env bash
# Starts the platform stand-ins, the backend servers and wasabigate on loopback
# from an example document, and stops all of them when it exits.
#
# Usage: system.sh DOCUMENT COMMAND [ARGUMENT...]
# COMMAND runs once the system is configured; "wait" keeps it running until Ctrl-C.
# ENGINES, SERVICES and ROUTERS set how many of each are started. POLICY,
# ENGINE_FLAGS, STORE_FLAGS, SIDECAR_SETTINGS, DRAIN_TIMEOUT and KEEP_LOGS=1 are
# for experiments; BASE_PORT is the lowest port used.
set -euo pipefail
cd "$(dirname "$0")/.."

document=$1
shift
engines=${ENGINES:-3}
services=${SERVICES:-1}
routers=${ROUTERS:-3}
base=${BASE_PORT:-17400}
policy=${POLICY:-own}
environment=production
run=$(mktemp -d)
daemons=()
standins=()

kv_port=$((base))
vms_port=$((base + 1))
weights_port=$((base + 2))
pieces_port=$((base + 3))
router_http=$((base + 10))
router_rpc=$((base + 30))
sidecar_rpc=$((base + 50))
sidecar_http=$((base + 100))
backend_port=$((base + 150))

stop_all() { # PID...
	for pid in "$@"; do kill -TERM "$pid" 2>/dev/null || true; done
	for pid in "$@"; do kill -CONT "$pid" 2>/dev/null || true; done
	for pid in "$@"; do wait "$pid" 2>/dev/null || true; done
}

# Stop the daemons first, so that they drain while the platform is still running.
stop() {
	trap - EXIT INT TERM
	stop_all "${daemons[@]}"
	stop_all "${standins[@]}"
	[ "${KEEP_LOGS:-0}" = 1 ] && echo "logs: $run" || rm -rf "$run"
}
trap stop EXIT
trap 'exit 130' INT TERM

start() { # NAME daemon|standin COMMAND...
	local name=$1 kind=$2
	shift 2
	"$@" >"$run/$name.log" 2>&1 &
	if [ "$kind" = daemon ]; then daemons+=($!); else standins+=($!); fi
	echo "$!" >"$run/$name.pid"
}

zone() { echo "zone-$(($1 % 3 + 1))"; }

# setting PATTERN KEY prints the setting of the first section whose header matches.
setting() {
	awk -v pattern="$1" -v key="$2" '
		/^\[/ { inside = ($0 ~ pattern) }
		inside && $1 == key { sub(/^[^=]*=[ \t]*/, ""); print; exit }' "$document"
}

service_group=$(awk '/^\[group / { name = $2; sub(/\]/, "", name) } $1 == "kind" && $3 == "service" { print name; exit }' "$document")
model=$(awk '/^\[model / { name = $2; sub(/\]/, "", name); print name; exit }' "$document")
weights=$(setting "^\\\\[model $model\\\\]" weights_version)

# The weights of all models, as flags of the weight store.
store_flags=$(awk '
	function flush() { if (name != "") print "--weights " (base ? base : name) ":" version (adapter ? ":" adapter : ""); name = base = adapter = "" }
	/^\[/ { flush() }
	/^\[model / { name = $2; sub(/\]/, "", name) }
	$1 == "base" { base = $3 }
	$1 == "adapter" { adapter = $3 }
	$1 == "weights_version" { version = $3 }
	END { flush() }' "$document")

vm() { # NAME ADDRESS ZONE GROUP
	printf '{"name":"%s","address":"%s","availability_zone":"%s","group":"%s","state":"live"}' "$@"
}

daemon_settings() { # NAME ROLE ZONE RPC [ADMIN]
	cat <<INI
[daemon]
name = $1
role = $2
availability_zone = $3
environment = $environment
rpc_address = 127.0.0.1:$4
drain_timeout = ${DRAIN_TIMEOUT:-20s}
${5:+admin_address = 127.0.0.1:$5}
peers = $peers
[platform]
key_value = http://127.0.0.1:$kv_port
vm_list = http://127.0.0.1:$vms_port
weight_store = http://127.0.0.1:$weights_port
piece_store = http://127.0.0.1:$pieces_port
vm_list_lag = 2s
[tls]
plaintext = yes
[log]
format = ${LOG_FORMAT:-text}
level = ${LOG_LEVEL:-info}
INI
}

peers=""
vms=""
add_vm() {
	vms="$vms${vms:+,}$(vm "$@")"
	peers="$peers${peers:+, }$2"
}
for ((i = 0; i < routers; i++)); do add_vm "router-$i" "127.0.0.1:$((router_rpc + i))" "$(zone $i)" routers; done
for ((i = 0; i < engines; i++)); do add_vm "engine-$i" "127.0.0.1:$((sidecar_rpc + i))" "$(zone $i)" engines; done
for ((i = 0; i < services; i++)); do add_vm "$service_group-$i" "127.0.0.1:$((sidecar_rpc + engines + i))" "$(zone $i)" "$service_group"; done
echo "{\"vms\":[$vms]}" >"$run/vms.json"

start kv standin bin/standin kv --listen "127.0.0.1:$kv_port"
start vm-list standin bin/standin vm-list --listen "127.0.0.1:$vms_port" --vms "$run/vms.json" --lag 1s
# shellcheck disable=SC2086
start weights standin bin/standin weight-store --listen "127.0.0.1:$weights_port" $store_flags ${STORE_FLAGS:-}
start pieces standin bin/standin piece-store --listen "127.0.0.1:$pieces_port"

sidecar() { # NUMBER NAME KIND GROUP
	{
		daemon_settings "$2" sidecar "$(zone "$1")" $((sidecar_rpc + $1)) $((sidecar_http + $1))
		cat <<INI
[sidecar]
kind = $3
group = $4
backend_url = http://127.0.0.1:$((backend_port + $1))
${SIDECAR_SETTINGS:-}
INI
	} >"$run/$2.ini"
	start "$2" daemon bin/wasabigated --config "$run/$2.ini"
}
for ((i = 0; i < engines; i++)); do
	# shellcheck disable=SC2086
	start "backend-$i" standin bin/standin model-engine --listen "127.0.0.1:$((backend_port + i))" --seed $((i + 1)) \
		--model "$model" --weights-version "$weights" ${ENGINE_FLAGS:-}
	sidecar "$i" "engine-$i" engines engines
done
for ((i = 0; i < services; i++)); do
	n=$((engines + i))
	start "backend-$n" standin bin/standin service --listen "127.0.0.1:$((backend_port + n))" --name "$service_group"
	sidecar "$n" "$service_group-$i" service "$service_group"
done
for ((i = 0; i < routers; i++)); do
	{
		daemon_settings "router-$i" router "$(zone $i)" $((router_rpc + i))
		echo "[router]"
		echo "http_address = 127.0.0.1:$((router_http + i))"
		echo "policy = $policy"
	} >"$run/router-$i.ini"
	start "router-$i" daemon bin/wasabigated --config "$run/router-$i.ini"
done

apply() {
	bin/wasabigate --key-value "http://127.0.0.1:$kv_port" --environment "$environment" config apply "$document"
}
for try in $(seq 50); do
	if apply >"$run/apply.log" 2>&1; then break; fi
	if grep -q 'revision 1 is in force' "$run/apply.log"; then break; fi # the response to an earlier try was lost
	if [ "$try" = 50 ]; then
		cat "$run/apply.log"
		exit 1
	fi
	sleep 0.1
done

export WASABIGATE_RUN=$run
export WASABIGATE_KV=http://127.0.0.1:$kv_port
export WASABIGATE_VM_LIST=http://127.0.0.1:$vms_port
export WASABIGATE_ROUTERS
WASABIGATE_ROUTERS=$(for ((i = 0; i < routers; i++)); do printf 'http://127.0.0.1:%d ' $((router_http + i)); done)
export WASABIGATE_BACKENDS
WASABIGATE_BACKENDS=$(for ((i = 0; i < engines + services; i++)); do printf 'http://127.0.0.1:%d ' $((backend_port + i)); done)
export WASABIGATE_DOCUMENT=$document
export WASABIGATE_MODEL=$model

if [ "$1" = wait ]; then
	key=$(awk '/demo key:/ { print $NF; exit }' "$document")
	echo "routers: $WASABIGATE_ROUTERS"
	echo "key:     $key"
	echo "try:     curl -N http://127.0.0.1:$router_http/v1/chat/completions -H 'Authorization: Bearer $key' -H 'Content-Type: application/json' -d '{\"model\":\"$model\",\"stream\":true,\"max_tokens\":16,\"messages\":[{\"role\":\"user\",\"content\":\"Is the snow guard layout in order?\"}]}'"
	echo "status:  bin/wasabigate --key-value $WASABIGATE_KV --vm-list $WASABIGATE_VM_LIST --environment $environment --plaintext status"
	echo "Ctrl-C stops the system."
	wait
else
	"$@"
fi
