package vmlist

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
)

func TestChangesBecomeVisibleAfterTheLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := New()
		list.Set(platform.VM{Name: "a", State: platform.VMLive})
		list.SetLag(time.Second)
		list.Set(platform.VM{Name: "a", State: platform.VMLeaving})
		list.SetLag(0) // the removal must not become visible before earlier changes
		list.Remove("a")
		list.Set(platform.VM{Name: "b", State: platform.VMLive})
		steps := []struct {
			after time.Duration
			want  []platform.VM
		}{
			{0, []platform.VM{{Name: "a", State: platform.VMLive}}},
			{999 * time.Millisecond, []platform.VM{{Name: "a", State: platform.VMLive}}},
			{time.Millisecond, []platform.VM{{Name: "b", State: platform.VMLive}}},
		}
		for _, step := range steps {
			time.Sleep(step.after)
			vms, err := list.VMs(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if len(vms) != len(step.want) || vms[0] != step.want[0] {
				t.Errorf("%v later: %v, want %v", step.after, vms, step.want)
			}
		}
		list.SetDown(true)
		if _, err := list.VMs(t.Context()); !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("list down: %v, want ErrUnavailable", err)
		}
	})
}
