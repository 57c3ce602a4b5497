package config

import "time"

// Role is what a daemon does.
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
	RPCAddress       string        // host:port of the rpc listener, as in the VM list
	AdminAddress     string        // host:port of health and metrics; empty: on the router's HTTP listener
	Peers            []string      // rpc addresses asked for state when the platform is down
	DrainTimeout     time.Duration // longest wait for running requests at a stop
}

// PlatformSettings is the section [platform].
type PlatformSettings struct {
	KeyValue    string        // base URL of the key-value service
	VMList      string        // base URL of the VM list
	WeightStore string        // base URL of the weight store; empty: none
	PieceStore  string        // base URL of the store of kept KV cache; empty: none
	Timeout     time.Duration // of one call
	VMListLag   time.Duration // largest lag of the VM list
}

// TLSSettings is the section [tls]: mutual TLS 1.3 between daemons, and TLS
// towards callers.
type TLSSettings struct {
	Plaintext         bool   // allows rpc and HTTP without TLS
	CA                string // file: certificate authority of the daemons
	Certificate       string // file: this daemon's certificate
	Key               string // file: its private key
	CallerCertificate string // file: certificate shown to callers
	CallerKey         string // file: its private key
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
	Policy        string // own, round-robin, least-loaded or prefix-hash
	LimitWait     time.Duration
	PrefixEntries int // entries of the learned prefix index
}

// SidecarSettings is the section [sidecar].
type SidecarSettings struct {
	Kind          GroupKind
	Group         string
	BackendURL    string
	MaxConcurrent int           // requests given to the backend server at once
	QueueLimit    int           // requests waiting at most
	AgeingBound   time.Duration // after this wait a deferrable request counts as urgent
	StreamBuffer  time.Duration // how long a finished or abandoned stream can be resumed
}

// GatewaySettings is the section [gateway].
type GatewaySettings struct {
	HTTPAddress     string
	ReadyAddress    string
	MemoryLimit     int64         // bytes; 0: none
	WeightsDeadline time.Duration // after which replaced weights may not be used; 0: none
	OrderLease      time.Duration // for which one gateway alone gives orders
	RetryRatio      float64
	RetryWindow     time.Duration // 0: no bound
	RetrySlack      float64       // attempts
	LimitWait       time.Duration
	FailClosed      bool
	BeliefBound     time.Duration // with FailClosed
}
