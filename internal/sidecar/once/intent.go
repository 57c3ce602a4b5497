package once

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/sidecar/job"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// headerBodyDropped marks a recorded reply whose body was too large to keep.
const headerBodyDropped = "Wasabigate-Body-Dropped"

// valueHeadroom is left for the parts of an intent besides the reply's body.
const valueHeadroom = 16 << 10

// record is an intent with its place in the key-value service.
type record struct {
	key     string
	intent  *wire.Intent
	version platform.Version // 0 until the intent is known to be there
	unsure  bool             // the intent may be there although version is 0
}

// mayExist says whether the intent may be in the key-value service.
func (r *record) mayExist() bool { return r.version != 0 || r.unsure }

// newRecord makes the intent of a call.
func newRecord(prefix string, j *job.Job) *record {
	call := j.Request.Call
	return &record{
		key: prefix + recordName(j.Request.Workspace, j.Route.Name, call.IdempotencyKey),
		intent: &wire.Intent{
			AttemptId:     uuid.NewString(),
			RequestDigest: digest([]byte(call.Method), []byte(call.Path), call.Body),
			CreatedUnix:   time.Now().Unix(),
			RequestId:     j.Request.RequestId,
		},
	}
}

// recordName returns the name of a call's record: it is the same for each
// attempt of the same workspace, route and idempotency key.
func recordName(workspace, route, idempotencyKey string) string {
	return hex.EncodeToString(digest([]byte(workspace), []byte(route), []byte(idempotencyKey)))
}

// digest hashes parts such that no two different lists of parts look alike.
func digest(parts ...[]byte) []byte {
	h := sha256.New()
	for _, part := range parts {
		writePart(h, part)
	}
	return h.Sum(nil)
}

func writePart(h hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	h.Write(length[:])
	h.Write(part)
}

func (r *record) encode() []byte {
	value, err := proto.Marshal(r.intent)
	if err != nil {
		panic(err) // strings of an intent are valid UTF-8
	}
	return value
}

// withReply returns the record's intent with the reply. The body of a reply
// that is too large for the key-value service is left out.
func (r *record) withReply(reply *wire.Reply) *record {
	kept := proto.Clone(reply).(*wire.Reply)
	if proto.Size(kept) > platform.MaxValueSize-valueHeadroom {
		kept = &wire.Reply{
			Status:  reply.Status,
			Headers: []*wire.Header{{Name: headerBodyDropped, Value: "true"}},
		}
	}
	intent := proto.Clone(r.intent).(*wire.Intent)
	intent.Reply = kept
	return &record{key: r.key, intent: intent, version: r.version}
}

// judge answers a call whose intent exists already.
func judge(existing, own *wire.Intent, timeout time.Duration) (job.Outcome, *verdict.Error) {
	if !bytes.Equal(existing.RequestDigest, own.RequestDigest) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeKeyMismatch,
			"the idempotency key was used for another request")
	}
	if existing.Reply != nil {
		return replay(existing.Reply)
	}
	age := time.Since(time.Unix(existing.CreatedUnix, 0))
	if age < timeout {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeInProgress,
			"an earlier attempt is running").WithRetryAfter(timeout - age)
	}
	return nil, verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown,
		"an earlier attempt was started and its outcome is unknown")
}

func replay(recorded *wire.Reply) (job.Outcome, *verdict.Error) {
	for _, header := range recorded.Headers {
		if header.Name == headerBodyDropped {
			return nil, verdict.New(verdict.Ran, verdict.CodeTooLarge,
				"the call ran with status %d; its answer was too large to keep", recorded.Status)
		}
	}
	reply := proto.Clone(recorded).(*wire.Reply)
	reply.Replayed = true
	return &wire.Frame{Reply: reply}, nil
}
