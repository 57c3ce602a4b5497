package config

func (l *loader) build() *Settings {
	settings := &Settings{
		Daemon:   buildDaemon(l.reader(sectionDaemon)),
		Platform: buildPlatform(l.reader(sectionPlatform)),
		Log:      buildLog(l.reader(sectionLog)),
	}
	role := settings.Daemon.Role
	settings.TLS = buildTLS(l.reader(sectionTLS), role)
	settings.Router = buildRouter(l.reader(sectionRouter), role)
	settings.Sidecar = buildSidecar(l.reader(sectionSidecar), role)
	settings.Gateway = buildGateway(l.reader(sectionGateway), role)
	return settings
}

func buildDaemon(r *reader) DaemonSettings {
	return DaemonSettings{
		Name:             r.text("name"),
		Role:             Role(r.text("role")),
		AvailabilityZone: r.text("availability_zone"),
		Environment:      r.text("environment"),
		RPCAddress:       r.text("rpc_address"),
		AdminAddress:     r.text("admin_address"),
		Peers:            r.ipPorts("peers"),
		DrainTimeout:     r.duration("drain_timeout"),
	}
}

func buildPlatform(r *reader) PlatformSettings {
	return PlatformSettings{
		KeyValue:    r.text("key_value"),
		VMList:      r.text("vm_list"),
		WeightStore: r.text("weight_store"),
		PieceStore:  r.text("piece_store"),
		Timeout:     r.duration("timeout"),
		VMListLag:   r.duration("vm_list_lag"),
		Contracts:   r.text("contracts"),
	}
}

func buildTLS(r *reader, role Role) TLSSettings {
	tls := TLSSettings{
		Plaintext:         r.boolean("plaintext"),
		CA:                r.text("ca"),
		Certificate:       r.text("certificate"),
		Key:               r.text("key"),
		CallerCertificate: r.text("caller_certificate"),
		CallerKey:         r.text("caller_key"),
	}
	if tls.Plaintext {
		return tls
	}
	r.require("plaintext is not set to yes", "ca", "certificate", "key")
	if role == RoleRouter {
		r.require("plaintext is not set to yes", "caller_certificate", "caller_key")
	}
	return tls
}

func buildLog(r *reader) LogSettings {
	return LogSettings{Level: r.text("level"), Format: r.text("format")}
}

func buildRouter(r *reader, role Role) RouterSettings {
	if role == RoleRouter {
		r.require("the role is router", "http_address")
	}
	return RouterSettings{
		HTTPAddress:   r.text("http_address"),
		MaxBodyBytes:  r.size("max_body_bytes"),
		MemoryLimit:   r.size("memory_limit"),
		Policy:        r.text("policy"),
		LimitWait:     r.duration("limit_wait"),
		PrefixEntries: int(r.integer("prefix_entries")),
		Retries:       buildRetries(r),
	}
}

func buildRetries(r *reader) RetrySettings {
	return RetrySettings{Ratio: r.number("retry_ratio"), Window: r.duration("retry_window"), Slack: r.number("retry_slack")}
}

func buildSidecar(r *reader, role Role) SidecarSettings {
	if role == RoleSidecar {
		r.require("the role is sidecar", "kind", "group", "backend_url")
	}
	return SidecarSettings{
		Kind:            GroupKind(r.text("kind")),
		Group:           r.text("group"),
		BackendURL:      r.text("backend_url"),
		MaxConcurrent:   int(r.integer("max_concurrent")),
		QueueLimit:      int(r.integer("queue_limit")),
		AgeingBound:     r.duration("ageing_bound"),
		MemoryLimit:     r.size("memory_limit"),
		StreamRetention: r.duration("stream_buffer"),
	}
}

func buildGateway(r *reader, role Role) GatewaySettings {
	if role == RoleGateway {
		r.require("the role is gateway", "http_address", "ready_address")
	}
	return GatewaySettings{
		HTTPAddress:     r.text("http_address"),
		ReadyAddress:    r.text("ready_address"),
		MemoryLimit:     r.size("memory_limit"),
		DescriptorLimit: r.integer("descriptor_limit"),
		WeightsDeadline: r.duration("weights_deadline"),
		OrderLease:      r.duration("order_lease"),
		Retries:         buildRetries(r),
		Canary:          buildCanary(r),
		LimitWait:       r.duration("limit_wait"),
		FailClosed:      r.boolean("fail_closed"),
		MaxStaleness:    r.duration("belief_bound"),
	}
}

func buildCanary(r *reader) CanarySettings {
	return CanarySettings{Share: r.number("canary_share"), Slack: r.number("canary_slack"), Rollback: r.duration("canary_rollback")}
}

// require adds a fault, with the reason, for each of keys that is missing or empty.
func (r *reader) require(reason string, keys ...string) {
	for _, key := range keys {
		if e, found := r.section.entry(key); !found || e.value == "" {
			r.addFault(key, "is missing: %s", reason)
		}
	}
}
