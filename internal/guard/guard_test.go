package guard

import (
	"testing"

	"github.com/pkg/errors"
)

func TestCall(t *testing.T) {
	failure := errors.New("failed")
	var unset map[string]int
	for _, c := range []struct {
		name   string
		handle func() error
		want   error
	}{
		{"success", func() error { return nil }, nil},
		{"failure", func() error { return failure }, failure},
		{"panic", func() error { panic("malformed") }, ErrPanic},
		{"runtime error", func() error { unset["x"] = 1; return nil }, ErrPanic},
	} {
		if err := Call("test", c.handle); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, err, c.want)
		}
	}
}
