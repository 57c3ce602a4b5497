package follower

import (
	"fmt"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/canary"
	"github.com/wasabigate/wasabigate/internal/platform"
)

// A restored store must neither bring back an order that was replaced nor a state that was left
// behind, and the same order written again must stay the same.
func TestRolloutsOverARestore(t *testing.T) {
	st := newState()
	order := func(to string) *canary.Order { return &canary.Order{Service: "s", To: to, Duration: time.Second} }
	write := func(era platform.Era, revision uint64, phase string, epoch int) {
		text := fmt.Sprintf(`{"serial":2,"epoch":%d,"to":"v3","duration_ms":1000,"phase":"%s","old":["v1"]}`, epoch, phase)
		st.applyRolloutState(&platform.Event{Entry: platform.Entry{Key: CanaryPrefix + "s", Value: []byte(text), Version: platform.NewVersion(era, revision)}})
	}
	st.applyOrder(order("v2"), platform.NewVersion(1, 10))
	st.applyOrder(order("v3"), platform.NewVersion(1, 20))
	write(1, 30, "completed", 7)
	st.restored = true
	if st.applyOrder(order("v2"), platform.NewVersion(2, 10)) {
		t.Error("a restored store brought back a replaced order")
	}
	write(2, 5, "observe", 3)
	r := st.rollouts["s"]
	if r.Order.To != "v3" || r.State.Phase != canary.Completed || !r.Lost || r.Revision != platform.NewVersion(2, 5) {
		t.Errorf("after the restore: %+v, %+v", r, r.State)
	}
	before := r.Order
	st.applyOrder(order("v3"), platform.NewVersion(2, 40))
	if *st.rollouts["s"].Order != *before {
		t.Error("the same order, written again, is another one")
	}
	st.loseRollouts(nil)
	if r := st.rollouts["s"]; !r.Lost || r.Revision != 0 || r.State.Phase != canary.Completed {
		t.Errorf("after the loss of the entry: %+v", r)
	}
	write(2, 50, "nonsense", 9)
	if st.rollouts["s"].State.Phase != canary.Completed {
		t.Error("an entry that can't be decoded replaced the state")
	}
}
