package vmlist

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/platform/httpapi"
	"github.com/wasabigate/wasabigate/internal/standin/web"
)

// Paths of the admin endpoint.
const (
	PathSet    = "/admin/vms/set"    // POST platform.VM
	PathRemove = "/admin/vms/remove" // POST RemoveRequest
	PathLag    = "/admin/lag"        // POST LagRequest
)

// RemoveRequest removes a VM from the list.
type RemoveRequest struct {
	Name string `json:"name"`
}

// LagRequest sets the lag of later changes.
type LagRequest struct {
	Lag web.Duration `json:"lag"`
}

// handler serves a List over HTTP.
type handler struct {
	list *List
}

// Handler serves l over HTTP, with its admin endpoint.
func Handler(l *List) http.Handler {
	h := handler{l}
	e := web.New()
	e.GET(httpapi.PathVMs, h.vms)
	e.POST(PathSet, web.Post(h.set))
	e.POST(PathRemove, web.Post(h.remove))
	e.POST(PathLag, web.Post(h.lag))
	web.AddAdmin(e, l)
	return e
}

func (h handler) vms(c echo.Context) error {
	vms, err := h.list.VMs(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, httpapi.VMs{VMs: vms})
}

func (h handler) set(_ echo.Context, vm platform.VM) (httpapi.Done, error) {
	if err := checkVM(vm); err != nil {
		return httpapi.Done{}, err
	}
	h.list.Set(vm)
	return httpapi.Done{}, nil
}

func (h handler) remove(_ echo.Context, q RemoveRequest) (httpapi.Done, error) {
	h.list.Remove(q.Name)
	return httpapi.Done{}, nil
}

func (h handler) lag(_ echo.Context, q LagRequest) (httpapi.Done, error) {
	h.list.SetLag(time.Duration(q.Lag))
	return httpapi.Done{}, nil
}

// checkVM rejects an incomplete VM or one in an unknown state.
func checkVM(vm platform.VM) error {
	if vm.Name == "" || vm.Address == "" || vm.Group == "" {
		return errors.Errorf("VM %q: name, address and group are needed", vm.Name)
	}
	if vm.State != platform.VMLive && vm.State != platform.VMLeaving {
		return errors.Errorf("VM %q: unknown state %q", vm.Name, vm.State)
	}
	return nil
}
