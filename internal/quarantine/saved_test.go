package quarantine

import (
	"testing"
	"time"
)

// A process that starts when all others have ended knows what they have saved, but nothing
// that a success has settled since.
func TestSavedFindings(t *testing.T) {
	q := New(nil)
	apply(q, []step{
		{server: "s0", parts: "P", at: 1}, {server: "s1", parts: "P", sent: 1, at: 2}, {server: "s2", parts: "P", sent: 2, at: 3},
	})
	text, digest, err := q.Save(second(4))
	if err != nil || digest != q.Digest() {
		t.Fatal(digest, err)
	}
	later := New(nil)
	restored, err := later.Restore(text, second(10))
	if err != nil || restored != digest || later.Digest() != digest {
		t.Errorf("restored %x, %v; saved %x", restored, err, digest)
	}
	if d := later.Check(partsOf("P"), second(10)); !d.Held || d.RetryAfter != firstHold-time.Second {
		t.Errorf("after a restore: %+v", d)
	}
	q.RecordSuccess(partsOf("P"), second(30))
	if _, err := q.Restore(text, second(31)); err != nil || q.Len() != 0 {
		t.Errorf("%d parts blamed after a success, %v", q.Len(), err)
	}
	if d := New(nil).Check(partsOf("P"), second(10)); d.Held {
		t.Error("blamed without a restore")
	}
	slow := New(nil) // its clock is behind
	if _, err := slow.Restore(text, second(2)); err != nil || !slow.Check(partsOf("P"), second(2)).Held {
		t.Error("not restored by a process whose clock is behind")
	}
	for _, text := range []string{"odd", "\xff", "\x12\x05"} {
		if _, err := q.Restore([]byte(text), second(31)); err == nil {
			t.Errorf("no error for %q", text)
		}
	}
}
