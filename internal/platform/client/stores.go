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

// NewVMList returns a client whose calls time out after timeout.
func NewVMList(baseURL string, timeout time.Duration) *VMList {
	return &VMList{newCaller(baseURL, timeout)}
}

// NewWeightStore returns a client whose calls time out after timeout.
func NewWeightStore(baseURL string, timeout time.Duration) *WeightStore {
	return &WeightStore{newCaller(baseURL, timeout)}
}

// NewPieceStore returns a client whose calls time out after timeout.
func NewPieceStore(baseURL string, timeout time.Duration) *PieceStore {
	return &PieceStore{newCaller(baseURL, timeout)}
}

// VMs implements platform.VMList.
func (l *VMList) VMs(ctx context.Context) ([]platform.VM, error) {
	var response httpapi.VMs
	if _, err := l.read(ctx, httpapi.PathVMs, nil, &response); err != nil {
		return nil, err
	}
	return response.VMs, nil
}

// Versions implements platform.WeightStore.
func (s *WeightStore) Versions(ctx context.Context, model string) ([]platform.Weights, error) {
	var response httpapi.Versions
	query := url.Values{httpapi.QueryModel: {model}}
	if _, err := s.read(ctx, httpapi.PathWeights, query, &response); err != nil {
		return nil, err
	}
	return response.Weights, nil
}

// Get implements platform.PieceStore.
func (s *PieceStore) Get(ctx context.Context, id string) (platform.Piece, error) {
	var response httpapi.Piece
	query := url.Values{httpapi.QueryID: {id}}
	if _, err := s.read(ctx, httpapi.PathPiece, query, &response); err != nil {
		return platform.Piece{}, err
	}
	return response.Open()
}

// Put implements platform.PieceStore.
func (s *PieceStore) Put(ctx context.Context, piece platform.Piece) error {
	_, err := s.write(ctx, httpapi.PathPiece, httpapi.SealPiece(piece), &httpapi.Done{})
	return err
}
