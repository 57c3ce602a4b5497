package sidecar

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabigate/wasabigate/internal/engine"
)

func says(leaving bool, instance string) http.Header {
	header := http.Header{}
	if leaving {
		header.Set(engine.HeaderLeaving, "1")
	}
	if instance != "" {
		header.Set(engine.HeaderInstance, instance)
	}
	return header
}

// A backend server leaves until its process has ended, whatever its later answers say.
func TestLeavingEndsWithTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ended atomic.Bool
		changes := 0
		l := &leaving{ended: func(context.Context) bool { return ended.Load() }, onChange: func() { changes++ }}
		l.observe(says(false, "a"))
		if l.is() {
			t.Fatal("leaves without saying so")
		}
		l.observe(says(true, "a"))
		l.observe(says(true, "a"))
		l.observe(says(false, "a"))
		l.observe(says(false, ""))
		time.Sleep(time.Minute)
		if !l.is() || changes != 1 {
			t.Errorf("leaves %v after %d changes", l.is(), changes)
		}
		ended.Store(true)
		time.Sleep(time.Second)
		if l.is() {
			t.Error("still leaves after the end of its process")
		}
	})
}

// Another process ends it as well, and so does a long time without any news.
func TestLeavingEndsOtherwise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &leaving{onChange: func() {}}
		l.observe(says(true, "a"))
		l.observe(says(false, "b"))
		if l.is() {
			t.Error("another process leaves")
		}
		l.observe(says(true, "b"))
		time.Sleep(maxLeaving + time.Second)
		if l.is() {
			t.Error("leaves for ever")
		}
	})
}
