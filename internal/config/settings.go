package config

import "time"

// Role is the function of a daemon.
type Role string

// The roles of wasabigated.
const (
	RoleRouter  Role = "router"
	RoleSidecar Role = "sidecar"
	RoleGateway Role = "gateway"
)

// Settings are a daemon's own settings, from its INI file, flags and
// environment variables.
type Settings struct {
	Daemon   DaemonSettings
	Platform PlatformSettings
	TLS      TLSSettings
	Log      LogSettings
	Router   RouterSettings
	Sidecar  SidecarSettings
	Gateway  GatewaySettings
}

// DaemonSettings is the section [daemon].
type DaemonSettings struct {
	Name             string
	Role             Role
	AvailabilityZone string
	Environment      string        // names the keys in the key-value service
	RPCAddress       string        // ip:port of the RPC listener, as in the VM list
	AdminAddress     string        // host:port of health and metrics; empty: on the router's HTTP listener
	Peers            []string      // RPC addresses of daemons asked for state when the platform is down
	DrainTimeout     time.Duration // longest wait for running requests at shutdown
}

// PlatformSettings is the section [platform].
type PlatformSettings struct {
	KeyValue    string        // base URL of the key-value service
	VMList      string        // base URL of the VM list
	WeightStore string        // base URL of the weight store; empty: none
	PieceStore  string        // base URL of the store for KV cache; empty: none
	Timeout     time.Duration // of one call
	VMListLag   time.Duration // longest delay before a change shows in the VM list
	Contracts   string        // names of the contracts in force, separated by commas
}

// TLSSettings is the section [tls]: mutual TLS 1.3 between daemons, and TLS for
// callers.
type TLSSettings struct {
	Plaintext         bool   // allows RPC and HTTP without TLS
	CA                string // file with the certificate authority of the daemons
	Certificate       string // file with this daemon's certificate
	Key               string // file with its private key
	CallerCertificate string // file with the certificate presented to callers
	CallerKey         string // file with its private key
}

// LogSettings is the section [log].
type LogSettings struct {
	Level  string // debug, info, warn or error
	Format string // text or json
}

// RouterSettings is the section [router].
type RouterSettings struct {
	HTTPAddress   string
	MaxBodyBytes  int64
	MemoryLimit   int64  // bytes; 0: none
	Policy        string // own, round-robin, least-loaded or prefix-hash
	LimitWait     time.Duration
	PrefixEntries int // maximum entries of the learned prefix index
	Retries       RetrySettings
}

// RetrySettings bound the retries at each service or group, over all daemons of a role.
type RetrySettings struct {
	Ratio  float64       // retries allowed per request
	Window time.Duration // window in which retries are counted; 0: no limit
	Slack  float64       // additional retries in a window
}

// SidecarSettings is the section [sidecar].
type SidecarSettings struct {
	Kind            GroupKind
	Group           string
	BackendURL      string
	MaxConcurrent   int           // maximum requests sent to the backend server at once
	QueueLimit      int           // maximum waiting requests
	AgeingBound     time.Duration // wait after which a deferrable request counts as urgent
	MemoryLimit     int64         // bytes; 0: none
	StreamRetention time.Duration // how long a finished or abandoned stream can be resumed
}

// CanarySettings bound what a bad software version gets while it is rolled out.
type CanarySettings struct {
	Share    float64 // of a service's requests; 0: rollout orders are ignored
	Slack    float64 // requests in addition
	Rollback time.Duration
}

// GatewaySettings is the section [gateway].
type GatewaySettings struct {
	HTTPAddress     string
	ReadyAddress    string
	MemoryLimit     int64         // bytes; 0: none
	DescriptorLimit int64         // file descriptors; 0: the system's limit
	WeightsDeadline time.Duration // time after which replaced weights are no longer used; 0: none
	OrderLease      time.Duration // time for which one gateway alone may send orders
	Retries         RetrySettings
	Canary          CanarySettings
	LimitWait       time.Duration
	FailClosed      bool
	MaxStaleness    time.Duration // with FailClosed: age of the configuration after which requests are rejected
}
