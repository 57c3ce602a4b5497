package forward

import (
	"slices"
	"sync"
	"time"

	"github.com/wasabigate/wasabigate/internal/admission"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/placement"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// gates holds the admission of each service's less urgent requests.
type gates struct {
	mu        sync.Mutex
	byService map[string]*admission.Gate
}

func newGates() *gates { return &gates{byService: make(map[string]*admission.Gate)} }

// of returns the gate of a service. Services are few, so none is removed.
func (g *gates) of(service string) *admission.Gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	gate := g.byService[service]
	if gate == nil {
		gate = admission.NewGate()
		g.byService[service] = gate
	}
	return gate
}

// admit returns an error if the servers have no room for the request, which is less urgent
// than others. Retries and the rest of streams are not refused: what was done for them
// would be lost. Nor is a request that was admitted and whose server turned out to be gone.
func (r *activeRequest) admit(query *placement.Query, servers []placement.Server, now time.Time) *verdict.Error {
	if !r.relay.AdmitByRoom || !query.Engine || r.admitted || r.req.Log.Attempts > 0 || r.delivered || continues(r.req) ||
		!r.req.Snapshot.Config.LessUrgent(r.req.Route, r.service) {
		return nil
	}
	room := roomOf(servers)
	admitted, share := r.relay.gates.of(r.service).Admit(r.req.WorkspaceName(), room, now)
	if share < 1 {
		r.relay.meters.countAdmission(r.service, admitted)
	}
	if admitted {
		r.admitted = true
		return nil
	}
	logger.Info(fields{
		logging.FieldRequest: r.req.ID, "service": r.service, "workspace": r.req.WorkspaceName(),
		"occupancy": room.Occupancy, "servers": room.Servers, "admitted_share": share,
	}, "no room for a less urgent request")
	return verdict.New(verdict.NotRun, verdict.CodeNoRoom, "%s has no room for less urgent requests", r.service)
}

// roomOf returns the room of the servers that take requests.
func roomOf(servers []placement.Server) admission.Room {
	occupancies := make([]float64, 0, len(servers))
	for i := range servers {
		if s := &servers[i]; !s.Draining && !s.Loading && !s.Paused && s.Slots > 0 {
			occupancies = append(occupancies, float64(s.Running)/float64(s.Slots))
		}
	}
	if len(occupancies) == 0 {
		return admission.Room{}
	}
	slices.Sort(occupancies)
	return admission.Room{Servers: len(occupancies), Occupancy: occupancies[len(occupancies)/2]}
}
