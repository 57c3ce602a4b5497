package quarantine

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// Save returns the findings for Restore, and their digest.
func (q *Quarantine) Save(now time.Time) (saved []byte, digest uint64, err error) {
	findings := q.Findings(now)
	saved, err = proto.Marshal(findings)
	return saved, findings.Digest, errors.Wrap(err, "encode findings")
}

// Restore merges findings that a process has saved as if it had done so just now, since the
// clocks of two processes may differ: a request may be held back longer, but not for a
// shorter time. It returns their digest, or an error if they are malformed.
func (q *Quarantine) Restore(saved []byte, now time.Time) (digest uint64, err error) {
	news := &wire.QuarantineNews{}
	if err := proto.Unmarshal(saved, news); err != nil {
		return 0, errors.Wrap(err, "decode findings")
	}
	q.Merge(news, now)
	return news.Digest, nil
}
