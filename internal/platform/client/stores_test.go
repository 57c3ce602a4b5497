package client

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/standin/fault"
	"github.com/wasabigate/wasabigate/internal/standin/pieces"
	"github.com/wasabigate/wasabigate/internal/standin/vmlist"
	"github.com/wasabigate/wasabigate/internal/standin/weights"
)

// services are the platform's services other than the key-value service.
type services struct {
	vms     platform.VMList
	weights platform.WeightStore
	pieces  platform.PieceStore
}

var (
	testVM      = platform.VM{Name: "a", Address: "127.0.0.1:1", Group: "engines", State: platform.VMLive}
	testWeights = platform.Weights{Model: "m", Version: "1"}
	testPiece   = platform.Piece{ID: "p", Salt: "s", Data: []byte("blocks"), Tokens: 2000}
)

func readVMs(ctx context.Context, s services) error {
	vms, err := s.vms.VMs(ctx)
	if err == nil && (len(vms) != 1 || vms[0] != testVM) {
		return errors.Errorf("VMs %v", vms)
	}
	return err
}

func readWeights(model string) func(context.Context, services) error {
	return func(ctx context.Context, s services) error {
		versions, err := s.weights.Versions(ctx, model)
		if err == nil && (len(versions) != 1 || versions[0] != testWeights) {
			return errors.Errorf("weights %v", versions)
		}
		return err
	}
}

func readPiece(id string) func(context.Context, services) error {
	return func(ctx context.Context, s services) error {
		piece, err := s.pieces.Get(ctx, id)
		if err == nil && (piece.Salt != "s" || piece.Tokens != 2000 || string(piece.Data) != "blocks") {
			return errors.Errorf("piece %+v", piece)
		}
		return err
	}
}

func putPiece(piece platform.Piece) func(context.Context, services) error {
	return func(ctx context.Context, s services) error { return s.pieces.Put(ctx, piece) }
}

func twice(call func(context.Context, services) error) func(context.Context, services) error {
	return func(ctx context.Context, s services) error {
		if err := call(ctx, s); err != nil {
			return errors.Errorf("first call: %v", err)
		}
		return call(ctx, s)
	}
}

func TestStoresContract(t *testing.T) {
	otherSalt := testPiece
	otherSalt.Salt = "another"
	cases := []struct {
		name   string
		faults fault.Faults
		call   func(context.Context, services) error
		want   error
	}{
		{"VMs", fault.Faults{}, readVMs, nil},
		{"VMs while down", fault.Faults{Down: true}, readVMs, platform.ErrUnavailable},
		{"VMs slow", fault.Faults{Delay: slowDelay}, readVMs, platform.ErrUnavailable},
		{"weights", fault.Faults{}, readWeights("m"), nil},
		{"weights of an unknown model", fault.Faults{}, readWeights("x"), platform.ErrNotFound},
		{"weights while down", fault.Faults{Down: true}, readWeights("m"), platform.ErrUnavailable},
		{"weights slow", fault.Faults{Delay: slowDelay}, readWeights("m"), platform.ErrUnavailable},
		{"weights above the rate limit", fault.Faults{PerSecond: 1}, twice(readWeights("m")), platform.ErrThrottled},
		{"piece", fault.Faults{}, readPiece("p"), nil},
		{"piece absent", fault.Faults{}, readPiece("x"), platform.ErrNotFound},
		{"piece corrupted", fault.Faults{Corrupt: 1}, readPiece("p"), platform.ErrCorrupt},
		{"piece while down", fault.Faults{Down: true}, readPiece("p"), platform.ErrUnavailable},
		{"piece slow", fault.Faults{Delay: slowDelay}, readPiece("p"), platform.ErrUnavailable},
		{"put again", fault.Faults{}, twice(putPiece(testPiece)), nil},
		{"put with another salt", fault.Faults{}, putPiece(otherSalt), platform.ErrConflict},
		{"put while down", fault.Faults{Down: true}, putPiece(testPiece), platform.ErrUnavailable},
		{"response to a put lost", fault.Faults{LoseAnswers: 1}, func(ctx context.Context, s services) error {
			err := s.pieces.Put(ctx, platform.Piece{ID: "lost", Salt: "s"})
			if _, readErr := s.pieces.Get(ctx, "lost"); readErr != nil {
				return errors.Errorf("read back: %v", readErr)
			}
			return err
		}, platform.ErrOutcomeUnknown},
	}
	for _, c := range cases {
		forEachServices(t, c.name, c.faults, func(t *testing.T, s services) {
			ctx, cancel := context.WithTimeout(t.Context(), timeoutFor(c.faults.Delay))
			defer cancel()
			if err := c.call(ctx, s); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
}

// simulatedServices are the in-process implementations of the services.
type simulatedServices struct {
	vms     *vmlist.List
	weights *weights.Store
	pieces  *pieces.Store
}

func newSimulatedServices(t *testing.T, faults fault.Faults) simulatedServices {
	pieceStore, err := pieces.New(1, 16)
	if err != nil {
		t.Fatal(err)
	}
	if err := pieceStore.Put(t.Context(), testPiece); err != nil {
		t.Fatal(err)
	}
	s := simulatedServices{vmlist.New(), weights.New(testWeights), pieceStore}
	s.vms.Set(testVM)
	s.vms.SetFaults(faults)
	s.weights.SetFaults(faults)
	s.pieces.SetFaults(faults)
	return s
}

// forEachServices runs a test against the simulated services themselves and through the
// HTTP clients.
func forEachServices(t *testing.T, name string, faults fault.Faults, test func(*testing.T, services)) {
	t.Run(name+"/in process", func(t *testing.T) {
		s := newSimulatedServices(t, faults)
		test(t, services{s.vms, s.weights, s.pieces})
	})
	t.Run(name+"/over HTTP", func(t *testing.T) {
		s := newSimulatedServices(t, faults)
		vms := NewVMList(serve(t, vmlist.Handler(s.vms)), time.Minute)
		weights := NewWeightStore(serve(t, weights.Handler(s.weights)), time.Minute)
		pieces := NewPieceStore(serve(t, pieces.Handler(s.pieces)), time.Minute)
		t.Cleanup(vms.Close)
		t.Cleanup(weights.Close)
		t.Cleanup(pieces.Close)
		test(t, services{vms, weights, pieces})
	})
}
