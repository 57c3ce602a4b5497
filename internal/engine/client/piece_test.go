package client_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/engine/client"
	"github.com/wasabigate/wasabigate/internal/engine/httpapi"
)

func TestExportOfAnotherPieceIsRefused(t *testing.T) {
	cases := []struct {
		name     string
		response httpapi.PieceBody
		want     error
	}{
		{"requested piece", httpapi.PieceBody{Salt: salt, Blocks: []uint64{1, 2}, Data: []byte("kv")}, nil},
		{"another salt", httpapi.PieceBody{Salt: "other", Blocks: []uint64{1, 2}, Data: []byte("kv")}, engine.ErrBroken},
		{"other blocks", httpapi.PieceBody{Salt: salt, Blocks: []uint64{1, 3}, Data: []byte("kv")}, engine.ErrBroken},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_ = json.NewEncoder(w).Encode(c.response)
			}))
			defer server.Close()
			target := client.NewEngine(server.URL)
			defer target.CloseIdleConnections()
			data, err := target.ExportPiece(t.Context(), salt, []uint64{1, 2})
			if !errors.Is(err, c.want) || (err == nil) != (string(data) == "kv") {
				t.Errorf("got %q, %v, want error %v", data, err, c.want)
			}
		})
	}
}
