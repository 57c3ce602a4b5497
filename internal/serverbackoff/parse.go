package serverbackoff

import (
	"strconv"
	"strings"
	"time"
)

const (
	// MaxWait bounds the time for which a server gets no request because it asked for that.
	// After it the server is asked again, so that a wrong value does not lose it for good.
	MaxWait = 10 * time.Minute
	// maxText bounds the text of a time.
	maxText = 24
)

// Asked is what a refusal says about when its server wants requests again.
type Asked struct {
	Wait      time.Duration // 0: it names no time
	Malformed bool          // a value is no time, is too long, or there are several
}

// Parse returns what the values of a refusal's header say: seconds, which may have a fraction.
// Of several values the longest time counts, and of one beyond MaxWait that much.
func Parse(values []string) Asked {
	asked := Asked{Malformed: len(values) > 1}
	for _, text := range values {
		seconds, ok := parseSeconds(strings.TrimSpace(text))
		switch {
		case !ok:
			asked.Malformed = true
		case seconds > MaxWait.Seconds():
			asked.Wait, asked.Malformed = MaxWait, true
		default:
			asked.Wait = max(asked.Wait, time.Duration(seconds*float64(time.Second)))
		}
	}
	return asked
}

func parseSeconds(text string) (float64, bool) {
	if len(text) > maxText || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	seconds, err := strconv.ParseFloat(text, 64)
	return seconds, err == nil && seconds >= 0
}
