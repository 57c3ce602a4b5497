package quarantine

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// saved is the form in which findings outlast all processes.
type saved struct {
	At       time.Time `json:"at"`       // by the clock of the process that saved them
	Findings []byte    `json:"findings"` // a wire.QuarantineNews whose ages are of that time
}

// Save returns the findings for Restore, and their digest.
func (q *Quarantine) Save(now time.Time) (text []byte, digest uint64, err error) {
	findings := q.Findings(now)
	encoded, err := proto.Marshal(findings)
	if err != nil {
		return nil, 0, errors.Wrap(err, "encode findings")
	}
	text, err = json.Marshal(saved{At: now.UTC(), Findings: encoded})
	return text, findings.Digest, errors.Wrap(err, "encode findings")
}

// Restore merges findings that a process has saved, and returns their digest. It returns an
// error if they are malformed.
func (q *Quarantine) Restore(text []byte, now time.Time) (digest uint64, err error) {
	var from saved
	if err := json.Unmarshal(text, &from); err != nil {
		return 0, errors.Wrap(err, "decode findings")
	}
	news := &wire.QuarantineNews{}
	if err := proto.Unmarshal(from.Findings, news); err != nil {
		return 0, errors.Wrap(err, "decode findings")
	}
	age := max(0, now.Sub(from.At)).Milliseconds()
	for _, crash := range news.Crashes {
		crash.SentAgeMs += age
		crash.EndedAgeMs += age
	}
	for _, success := range news.Successes {
		success.AgeMs += age
	}
	q.Merge(news, now)
	return news.Digest, nil
}
