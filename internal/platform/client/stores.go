package client

import (
	"context"
	"net/url"
	"time"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/platform/httpapi"
)

// VMList calls the VM list. It implements platform.VMList.
type VMList struct {
	caller
}

// WeightStore calls the weight store. It implements platform.WeightStore.
type WeightStore struct {
	caller
}

// PieceStore calls the piece store. It implements platform.PieceStore.
type PieceStore struct {
	caller
}

var (
	_ platform.VMList      = (*VMList)(nil)
	_ platform.WeightStore = (*WeightStore)(nil)
	_ platform.PieceStore  = (*PieceStore)(nil)
)

// NewVMList returns a client whose calls take at most timeout.
func NewVMList(baseURL string, timeout time.Duration) *VMList {
	return &VMList{newCaller(baseURL, timeout)}
}

// NewWeightStore returns a client whose calls take at most timeout.
func NewWeightStore(baseURL string, timeout time.Duration) *WeightStore {
	return &WeightStore{newCaller(baseURL, timeout)}
}

// NewPieceStore returns a client whose calls take at most timeout.
func NewPieceStore(baseURL string, timeout time.Duration) *PieceStore {
	return &PieceStore{newCaller(baseURL, timeout)}
}

// VMs implements platform.VMList.
func (l *VMList) VMs(ctx context.Context) ([]platform.VM, error) {
	var answer httpapi.VMs
	if err := l.read(ctx, httpapi.PathVMs, nil, &answer); err != nil {
		return nil, err
	}
	return answer.VMs, nil
}

// Versions implements platform.WeightStore.
func (s *WeightStore) Versions(ctx context.Context, model string) ([]platform.Weights, error) {
	var answer httpapi.Versions
	query := url.Values{httpapi.QueryModel: {model}}
	if err := s.read(ctx, httpapi.PathWeights, query, &answer); err != nil {
		return nil, err
	}
	return answer.Weights, nil
}

// Get implements platform.PieceStore.
func (s *PieceStore) Get(ctx context.Context, id string) (platform.Piece, error) {
	var answer httpapi.Piece
	query := url.Values{httpapi.QueryID: {id}}
	if err := s.read(ctx, httpapi.PathPiece, query, &answer); err != nil {
		return platform.Piece{}, err
	}
	return answer.Open()
}

// Put implements platform.PieceStore.
func (s *PieceStore) Put(ctx context.Context, piece platform.Piece) error {
	return s.write(ctx, httpapi.PathPiece, httpapi.SealPiece(piece), &httpapi.Done{})
}
