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

// headerBodyDropped marks a recorded reply whose body was too large to store.
const headerBodyDropped = "Wasabigate-Body-Dropped"

// valueHeadroom is the space in a value for the fields of an intent other than
// the reply.
const valueHeadroom = 16 << 10

// record is an intent with its key and version in the key-value service.
type record struct {
	key       string
	intent    *wire.Intent
	version   platform.Version // 0 until the intent is known to be stored
	uncertain bool             // the intent may be stored although version is 0
}

// mayExist reports whether the intent may be in the key-value service.
func (r *record) mayExist() bool { return r.version != 0 || r.uncertain }

// newRecord returns a record with a new intent for the call.
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

// recordName returns the name of a call's record, which is the same for all
// attempts with the same workspace, route and idempotency key.
func recordName(workspace, route, idempotencyKey string) string {
	return hex.EncodeToString(digest([]byte(workspace), []byte(route), []byte(idempotencyKey)))
}

// digest hashes the parts, each prefixed with its length, so that different
// lists of parts never form the same input.
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

// withReply returns the record with the reply in its intent. If the reply is too
// large for the key-value service, only its status is stored.
func (r *record) withReply(reply *wire.Reply) *record {
	stored := proto.Clone(reply).(*wire.Reply)
	if proto.Size(stored) > platform.MaxValueSize-valueHeadroom {
		stored = &wire.Reply{
			Status:  reply.Status,
			Headers: []*wire.Header{{Name: headerBodyDropped, Value: "true"}},
		}
	}
	intent := proto.Clone(r.intent).(*wire.Intent)
	intent.Reply = stored
	return &record{key: r.key, intent: intent, version: r.version}
}

// resolveExisting returns the result of a call whose intent already exists.
func resolveExisting(existing, own *wire.Intent, timeout time.Duration) (job.Outcome, *verdict.Error) {
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
