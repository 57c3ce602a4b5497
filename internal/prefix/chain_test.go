package prefix

import (
	"strings"
	"testing"
)

func TestChainSharesExactlyTheCommonPrefix(t *testing.T) {
	salt := Seed{Workspace: "kopano", Model: "badge"}.Salt()
	common := strings.Repeat("a", 3*BlockBytes)
	left := Chain(nil, salt, common+strings.Repeat("b", BlockBytes))
	right := Chain(nil, salt, common+strings.Repeat("c", BlockBytes+1))
	if len(left) != 4 || len(right) != 4 {
		t.Fatalf("got %d and %d blocks, want 4", len(left), len(right))
	}
	for i := range left {
		if (left[i] == right[i]) != (i < 3) {
			t.Errorf("block %d: equal is %v", i, left[i] == right[i])
		}
	}
}

func TestSaltSeparatesSeeds(t *testing.T) {
	seeds := []Seed{
		{Workspace: "a", Model: "m", Adapter: "x", WeightsVersion: "1"},
		{Workspace: "b", Model: "m", Adapter: "x", WeightsVersion: "1"},
		{Workspace: "a", Model: "mx", WeightsVersion: "1"},
		{Workspace: "a", Model: "m", Adapter: "x", WeightsVersion: "2"},
	}
	text := strings.Repeat("p", BlockBytes)
	seen := make(map[uint64]Seed)
	for _, seed := range seeds {
		block := Chain(nil, seed.Salt(), text)[0]
		if other, ok := seen[block]; ok {
			t.Errorf("%v and %v share a block", seed, other)
		}
		seen[block] = seed
	}
}
