package client

import (
	"context"
	"encoding/json"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/platform/httpapi"
)

var logger = logging.For("platform")

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

// VMs implements platform.VMList. An entry that describes no VM is left out.
func (l *VMList) VMs(ctx context.Context) ([]platform.VM, error) {
	var response struct {
		VMs []json.RawMessage `json:"vms"`
	}
	if _, err := l.read(ctx, httpapi.PathVMs, nil, &response); err != nil {
		return nil, err
	}
	vms := make([]platform.VM, 0, len(response.VMs))
	for _, entry := range response.VMs {
		vm, err := decodeVM(entry)
		if err != nil {
			logger.Warn(logging.Fields{"error": err.Error()}, "entry of the VM list left out")
			continue
		}
		vms = append(vms, vm)
	}
	return vms, nil
}

func decodeVM(entry json.RawMessage) (platform.VM, error) {
	var vm platform.VM
	if err := json.Unmarshal(entry, &vm); err != nil {
		return vm, errors.Wrap(err, "decode VM")
	}
	_, port, err := net.SplitHostPort(vm.Address)
	if err != nil {
		return vm, errors.Wrapf(err, "VM %q", vm.Name)
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		return vm, errors.Errorf("VM %q: unusable port %q", vm.Name, port)
	}
	if vm.Name == "" || vm.Group == "" || vm.State != platform.VMLive && vm.State != platform.VMLeaving {
		return vm, errors.Errorf("VM %q of group %q: unknown state %q, or no name or group", vm.Name, vm.Group, vm.State)
	}
	return vm, nil
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
