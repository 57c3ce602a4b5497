package follower

import (
	"context"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/platform"
)

// A store that cuts one waiting watch has not been lost: a server that it removes soon
// after is removed here too, within the time in which a change must be in force.
func TestCutWatchIsNoOutage(t *testing.T) {
	for _, wait := range []time.Duration{600 * time.Millisecond, time.Second, 1200 * time.Millisecond, 1400 * time.Millisecond} {
		runFollower(t, func(f *fakeFeed, follower *Follower) {
			f.put("servers/b", "server lm 10.0.0.2:80") // restarts the watch
			time.Sleep(inForceWithin)
			time.Sleep(wait)
			f.set(func() { f.cuts++ })
			time.Sleep(1350 * time.Millisecond)
			f.remove("servers/a")
			time.Sleep(inForceWithin)
			if follower.Snapshot().Servers["a"] != nil {
				t.Errorf("watch cut after %v: the removed server is still listed %v after its removal", wait, inForceWithin)
			}
		})
	}
}

// The store counts as lost only if it failed to answer for long enough: neither silence
// without a failed call, nor calls over the rate limit, show that it was down.
func TestGraceAfterSilence(t *testing.T) {
	for _, test := range []struct {
		name    string
		calls   []error
		silence time.Duration
		want    time.Duration
	}{
		{"a process that was slow", nil, time.Hour, 0},
		{"the first call of a process", nil, 1<<63 - 1, 0},
		{"one watch was cut", []error{platform.ErrUnavailable}, 4 * time.Second, 0},
		{"a short outage", []error{platform.ErrUnavailable, platform.ErrUnavailable}, time.Second, 0},
		{"an outage", []error{platform.ErrUnavailable, platform.ErrUnavailable}, 3 * time.Second, relistGrace},
		{"the rate limit", []error{platform.ErrThrottled, platform.ErrThrottled, platform.ErrThrottled}, 4 * time.Second, 0},
		{"compacted history", []error{platform.ErrCompacted, platform.ErrCompacted, platform.ErrUnavailable}, 4 * time.Second, 0},
	} {
		var f failures
		for _, err := range test.calls {
			f.record(err)
		}
		if got := f.graceAfter(test.silence); got != test.want {
			t.Errorf("%s: grace %v, want %v", test.name, got, test.want)
		}
		f.reset()
		if got := f.graceAfter(test.silence); got != 0 {
			t.Errorf("%s, then a response: grace %v, want none", test.name, got)
		}
	}
}

// A gateway that learns of an outage from another one keeps the servers that disappeared
// as long as that one does.
func TestGraceOfAnotherGateway(t *testing.T) {
	runFollower(t, func(_ *fakeFeed, follower *Follower) {
		removal := platform.Event{Entry: platform.Entry{Key: "servers/a", Version: 20}, Deleted: true}
		follower.Merge(context.Background(), Changes{Events: []platform.Event{removal}, Position: 20, Grace: time.Second})
		time.Sleep(700 * time.Millisecond)
		if follower.Snapshot().Servers["a"] == nil || follower.ChangesAfter(0).Grace != 300*time.Millisecond {
			t.Errorf("servers %v, grace %v", follower.Snapshot().Servers, follower.ChangesAfter(0).Grace)
		}
		time.Sleep(inForceWithin)
		if follower.Snapshot().Servers["a"] != nil || follower.ChangesAfter(0).Grace != 0 {
			t.Errorf("after the grace: servers %v, grace %v", follower.Snapshot().Servers, follower.ChangesAfter(0).Grace)
		}
	})
}
