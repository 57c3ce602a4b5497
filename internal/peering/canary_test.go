package peering

import (
	"reflect"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/canary"
)

// Evidence must arrive as it was sent, and buckets that are out of range must not be counted.
func TestCanaryNews(t *testing.T) {
	r := &canary.Report{
		Service: "s", Serial: 3, Age: time.Second, Phase: canary.Settle, OnOld: 2,
		Finding: canary.Finding{Bad: true, Reason: "r"}, Evidence: canary.NewEvidence(),
	}
	counts := r.Evidence.Counts("route")
	counts[canary.Old] = canary.Counts{Responses: 9, Failures: 1}
	counts[canary.New].Responses = 4
	counts[canary.New].First.Add(20 * time.Millisecond)
	counts[canary.New].First.Add(time.Hour)
	counts[canary.New].Gaps.Add(time.Microsecond)
	r.Evidence.Crash(canary.New, 7)
	news := encodeCanary(r)
	if got := decodeCanary(news); !reflect.DeepEqual(got, r) {
		t.Errorf("got %+v, want %+v", got, r)
	}
	for _, c := range news.Counts {
		c.FirstOffset, c.First = canary.Buckets-1, []uint32{1, 2}
	}
	if got := decodeCanary(news); len(got.Evidence.Routes) != 0 {
		t.Errorf("buckets out of range were counted: %+v", got.Evidence)
	}
}
