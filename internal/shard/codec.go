package shard

import (
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// keyPrefix is the prefix of the keys of shard tables in the key-value service.
const keyPrefix = "wasabigate/shards/"

// Key returns the key of an environment's table in the key-value service.
func Key(environment string) string { return keyPrefix + environment }

// Encode serializes the table. It omits the levels of owned shards: a router that
// claims a free shard takes over its levels, and they must not be handed over twice.
func Encode(t *Table) ([]byte, error) {
	message := &wire.ShardTable{Epoch: t.Epoch, Shards: make([]*wire.ShardOwner, Count), Waiting: t.Waiting}
	for i := range t.Owners {
		message.Shards[i] = encodeOwner(&t.Owners[i])
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	return data, errors.Wrap(err, "encode shard table")
}

func encodeOwner(o *Owner) *wire.ShardOwner {
	message := &wire.ShardOwner{Address: o.Address, SinceEpoch: o.SinceEpoch, Revoked: o.Revoked}
	if o.Address != "" {
		return message
	}
	for workspace, tokens := range o.Levels {
		message.Levels = append(message.Levels, &wire.Level{Workspace: workspace, Tokens: tokens})
	}
	slices.SortFunc(message.Levels, func(a, b *wire.Level) int {
		if a.Workspace < b.Workspace {
			return -1
		}
		return 1
	})
	return message
}

// Decode parses a serialized table.
func Decode(data []byte) (*Table, error) {
	message := &wire.ShardTable{}
	if err := proto.Unmarshal(data, message); err != nil {
		return nil, errors.Wrap(err, "decode shard table")
	}
	if len(message.Shards) != Count {
		return nil, errors.Errorf("shard table of epoch %d has %d shards, want %d",
			message.Epoch, len(message.Shards), Count)
	}
	t := &Table{Epoch: message.Epoch, Waiting: message.Waiting}
	for i, shard := range message.Shards {
		o := Owner{Address: shard.GetAddress(), SinceEpoch: shard.GetSinceEpoch(), Revoked: shard.GetRevoked()}
		if o.SinceEpoch > t.Epoch {
			return nil, errors.Errorf("shard %d in table of epoch %d is owned since later epoch %d", i, t.Epoch, o.SinceEpoch)
		}
		if o.Address == "" {
			o.Levels = decodeLevels(shard.GetLevels())
		}
		t.Owners[i] = o
	}
	return t, nil
}

func decodeLevels(levels []*wire.Level) map[string]int64 {
	if len(levels) == 0 {
		return nil
	}
	decoded := make(map[string]int64, len(levels))
	for _, level := range levels {
		decoded[level.GetWorkspace()] = level.GetTokens()
	}
	return decoded
}
