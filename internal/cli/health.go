package cli

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/platform"
)

// assessment collects problems and the resulting health.
type assessment struct {
	health   Health
	problems []string
}

func (a *assessment) degraded(format string, args ...any) {
	if a.health != HealthDown {
		a.health = HealthDegraded
	}
	a.problems = append(a.problems, fmt.Sprintf(format, args...))
}

func (a *assessment) down(format string, args ...any) {
	a.health = HealthDown
	a.problems = append(a.problems, fmt.Sprintf(format, args...))
}

// assess derives the problems and the health of the environment. accepted is
// nil if unknown.
func (f *fleetStatus) assess(findings *assessment, accepted *config.Revision, environment string) {
	f.Revision = f.newestRevision(accepted)
	for i := range f.Daemons {
		f.Daemons[i].assess(findings, f.Revision, environment)
	}
	f.assessRouters(findings)
	f.assessGroups(findings, accepted)
	f.Health = HealthOK
	if findings.health != "" {
		f.Health = findings.health
	}
	f.Problems = append([]string{}, findings.problems...)
}

func (f *fleetStatus) newestRevision(accepted *config.Revision) uint64 {
	var newest uint64
	if accepted != nil {
		newest = accepted.Number
	}
	for i := range f.Daemons {
		newest = max(newest, f.Daemons[i].Revision)
	}
	return newest
}

func (d *daemonStatus) assess(findings *assessment, newest uint64, environment string) {
	name := daemonName(platform.VM{Name: d.Name, Address: d.Address})
	if !d.Reachable && d.Leaving {
		return // a VM that left stays listed for a while
	}
	if !d.Reachable {
		findings.degraded("%s is unreachable: %s", name, d.Error)
		return
	}
	if d.PileUp {
		findings.degraded("%s has a pile-up: the oldest of %d requests waits for %.1f s, projected to drain in %.1f s",
			name, d.Urgent+d.Deferrable, d.OldestSeconds, d.DrainSeconds)
	}
	if d.Revision < newest {
		findings.degraded("%s has revision %d, not %d", name, d.Revision, newest)
	}
	if environment != "" && d.Environment != environment {
		findings.degraded("%s belongs to environment %q", name, d.Environment)
	}
	if d.CachedState != nil && d.CachedState.StalenessSeconds > maxStaleness.Seconds() {
		findings.degraded("%s last heard of the platform's store %.1f s ago", name, d.CachedState.StalenessSeconds)
	}
	if d.UnlistedServers > 0 {
		findings.degraded("%s knows %d backend servers that the VM list does not show", name, d.UnlistedServers)
	}
}

// takesRequests reports whether clients send requests to daemons of this role.
func (d *daemonStatus) takesRequests() bool {
	return d.Role == string(config.RoleRouter) || d.Role == string(config.RoleGateway)
}

// serves reports whether the daemon accepts new requests.
func (d *daemonStatus) serves() bool { return d.Reachable && !d.Draining && !d.Leaving }

func (f *fleetStatus) assessRouters(findings *assessment) {
	if !slices.ContainsFunc(f.Daemons, func(d daemonStatus) bool {
		return d.takesRequests() && d.serves()
	}) {
		findings.down("no router takes requests")
	}
}

// assessGroups reports groups without a serving backend server. It needs the
// document, and the groups of the daemons from the VM list.
func (f *fleetStatus) assessGroups(findings *assessment, accepted *config.Revision) {
	if accepted == nil {
		return
	}
	for _, group := range accepted.Document.Groups {
		if !slices.ContainsFunc(f.Daemons, func(d daemonStatus) bool { return d.Group == group.Name && d.serves() }) {
			findings.down("no backend server of group %s takes requests", group.Name)
		}
	}
}

func (f *fleetStatus) writeText(w io.Writer) {
	fmt.Fprintf(w, "%s, revision %d\n", f.Health, f.Revision)
	for _, problem := range f.Problems {
		fmt.Fprintf(w, "! %s\n", problem)
	}
	table := newTable(w)
	fmt.Fprintln(table, "NAME\tADDRESS\tROLE\tZONE\tGROUP\tSTATE\tREVISION\tURGENT\tDEFERRABLE\tOLDEST\tRUNNING\tSHARDS\tUP")
	for i := range f.Daemons {
		f.Daemons[i].writeRow(table)
	}
	_ = table.Flush()
	for i := range f.Daemons {
		if f.Daemons[i].CachedState != nil {
			f.Daemons[i].writeCachedState(w)
		}
	}
}

func (d *daemonStatus) writeRow(w io.Writer) {
	if !d.Reachable {
		fmt.Fprintf(w, "%s\t%s\t-\t%s\t%s\tunreachable\t-\t-\t-\t-\t-\t-\t-\n", d.Name, d.Address, d.AvailabilityZone, d.Group)
		return
	}
	up := time.Since(time.Unix(d.StartedUnix, 0)).Round(time.Second)
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%.1fs\t%d\t%d\t%s\n", d.Name, d.Address, d.Role, d.AvailabilityZone, d.Group,
		d.state(), d.Revision, d.Urgent, d.Deferrable, d.OldestSeconds, d.Inflight, d.Shards, up)
}

func (d *daemonStatus) state() string {
	switch {
	case d.PileUp:
		return "pile-up"
	case d.Draining:
		return "draining"
	case d.Leaving:
		return "leaving"
	}
	return "serving"
}
