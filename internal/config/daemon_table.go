package config

// Sections of a daemon's settings.
const (
	sectionDaemon   = "daemon"
	sectionPlatform = "platform"
	sectionTLS      = "tls"
	sectionLog      = "log"
	sectionRouter   = "router"
	sectionSidecar  = "sidecar"
)

var daemonTable = table{
	{Section: sectionDaemon, Key: "name", Type: TypeName, Required: true,
		Doc: "Name of the VM, as in the VM list."},
	{Section: sectionDaemon, Key: "role", Type: TypeChoice, Required: true, Choices: []string{string(RoleRouter), string(RoleSidecar)},
		Doc: "router on entry VMs, sidecar on the VMs of backend servers."},
	{Section: sectionDaemon, Key: "availability_zone", Type: TypeName, Required: true,
		Doc: "Availability zone of the VM."},
	{Section: sectionDaemon, Key: "environment", Type: TypeName, Required: true,
		Doc: "Environment, which names the keys in the key-value service."},
	{Section: sectionDaemon, Key: "rpc_address", Type: TypeIPPort, Required: true,
		Doc: "Address of the listener for other daemons, as in the VM list."},
	{Section: sectionDaemon, Key: "admin_address", Type: TypeAddress,
		Doc: "Address of the listener for health and metrics; none: on the router's HTTP listener."},
	{Section: sectionDaemon, Key: "peers", Type: TypeIPPorts,
		Doc: "Daemons asked for the document when the platform is down, separated by commas."},
	{Section: sectionDaemon, Key: "drain_timeout", Type: TypeDuration, Default: "10m", Min: "0s", Max: "24h",
		Doc: "Longest wait for running requests at a stop."},

	{Section: sectionPlatform, Key: "key_value", Type: TypeURL, Required: true,
		Doc: "Base URL of the key-value service."},
	{Section: sectionPlatform, Key: "vm_list", Type: TypeURL, Required: true,
		Doc: "Base URL of the VM list."},
	{Section: sectionPlatform, Key: "weight_store", Type: TypeURL,
		Doc: "Base URL of the weight store; none if there is none."},
	{Section: sectionPlatform, Key: "piece_store", Type: TypeURL,
		Doc: "Base URL of the store of kept KV cache; none if there is none."},
	{Section: sectionPlatform, Key: "timeout", Type: TypeDuration, Default: "500ms", Min: "1ms", Max: "1m",
		Doc: "Timeout of one call."},
	{Section: sectionPlatform, Key: "vm_list_lag", Type: TypeDuration, Default: "10s", Min: "0s", Max: "10m",
		Doc: "Largest lag of the VM list. A lost router's shards move after this wait."},

	{Section: sectionTLS, Key: "plaintext", Type: TypeBoolean, Default: "no",
		Doc: "Allows connections without TLS, between daemons and towards callers."},
	{Section: sectionTLS, Key: "ca", Type: TypeText,
		Doc: "File with the certificate authority of the daemons. Required without plaintext."},
	{Section: sectionTLS, Key: "certificate", Type: TypeText,
		Doc: "File with this daemon's certificate. Required without plaintext."},
	{Section: sectionTLS, Key: "key", Type: TypeText,
		Doc: "File with this daemon's private key. Required without plaintext."},
	{Section: sectionTLS, Key: "caller_certificate", Type: TypeText,
		Doc: "File with the certificate shown to callers. Required for routers without plaintext."},
	{Section: sectionTLS, Key: "caller_key", Type: TypeText,
		Doc: "File with the private key of caller_certificate."},

	{Section: sectionLog, Key: "level", Type: TypeChoice, Default: "info", Choices: []string{"debug", "info", "warn", "error"},
		Doc: "Least severe lines that are logged."},
	{Section: sectionLog, Key: "format", Type: TypeChoice, Default: "text", Choices: []string{"text", "json"},
		Doc: "Format of the lines."},

	{Section: sectionRouter, Key: "http_address", Type: TypeAddress,
		Doc: "Address of the listener for callers. Required for routers."},
	{Section: sectionRouter, Key: "max_body_bytes", Type: TypeSize, Default: "8MiB", Min: "1KiB", Max: "16MiB",
		Doc: "Largest body of a request."},
	{Section: sectionRouter, Key: "policy", Type: TypeChoice, Default: "own", Choices: []string{"own", "round-robin", "least-loaded", "prefix-hash"},
		Doc: "Routing policy. The others serve comparisons."},
	{Section: sectionRouter, Key: "limit_wait", Type: TypeDuration, Default: "300ms", Min: "0s", Max: "1m",
		Doc: "Longest wait for tokens of a workspace before a refusal."},
	{Section: sectionRouter, Key: "prefix_entries", Type: TypeInteger, Default: "200000", Min: "1", Max: "10000000",
		Doc: "Entries of the index of learned prefixes."},

	{Section: sectionSidecar, Key: "kind", Type: TypeChoice, Choices: []string{string(GroupEngines), string(GroupService)},
		Doc: "What the backend server is. Required for sidecars."},
	{Section: sectionSidecar, Key: "group", Type: TypeName,
		Doc: "Group of the backend server, as in the document. Required for sidecars."},
	{Section: sectionSidecar, Key: "backend_url", Type: TypeURL,
		Doc: "Base URL of the backend server. Required for sidecars."},
	{Section: sectionSidecar, Key: "max_concurrent", Type: TypeInteger, Unit: "requests", Default: "64", Min: "1", Max: "100000",
		Doc: "Requests given to the backend server at once."},
	{Section: sectionSidecar, Key: "queue_limit", Type: TypeInteger, Unit: "requests", Default: "1024", Min: "1", Max: "1000000",
		Doc: "Most requests that wait."},
	{Section: sectionSidecar, Key: "ageing_bound", Type: TypeDuration, Default: "2m", Min: "1ms", Max: "24h",
		Doc: "Wait after which a deferrable request counts as urgent."},
	{Section: sectionSidecar, Key: "stream_buffer", Type: TypeDuration, Default: "30s", Min: "0s", Max: "1h",
		Doc: "How long a finished or abandoned stream can be resumed."},
}
