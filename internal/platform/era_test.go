package platform

import "testing"

// A malformed era changes nothing.
func TestMalformedEras(t *testing.T) {
	var tracker EraTracker
	for _, c := range []struct {
		text string
		want Era
	}{
		{"", 0}, {"x", 0}, {"3", 3}, {"", 3}, {"-1", 3}, {"3.5", 3}, {"99999999999999999999", 3}, {"1048576", 3}, {"500000", 3},
		{"2", 2}, // a late response
		{"4", 4}, {" 5", 4}, {"1003", 1003},
	} {
		if got := tracker.Observe(c.text); got != c.want {
			t.Errorf("era %q is %d, want %d", c.text, got, c.want)
		}
	}
	if tracker.Latest() != 1003 {
		t.Errorf("latest era %d, want 1003", tracker.Latest())
	}
}

func TestVersionsOfEras(t *testing.T) {
	before, after := NewVersion(1, 1_000_000), NewVersion(2, 3)
	if before >= after || after.Era() != 2 || after.Revision() != 3 || after.String() != "2/3" || NewVersion(0, 7).String() != "7" || NewVersion(5, 0) != 0 {
		t.Errorf("versions %v and %v", before, after)
	}
}
