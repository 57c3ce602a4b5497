package pieces

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/urfave/cli/v3"

	"github.com/wasabigate/wasabigate/internal/platform/httpapi"
	"github.com/wasabigate/wasabigate/internal/standin/web"
)

// Handler serves s over HTTP, with its admin endpoint.
func Handler(s *Store) http.Handler {
	e := web.New()
	e.GET(httpapi.PathPiece, func(c echo.Context) error {
		piece, err := s.load(c.Request().Context(), c.QueryParam(httpapi.QueryID))
		if err != nil {
			return err
		}
		return c.JSON(http.StatusOK, piece)
	})
	put := func(c echo.Context, piece httpapi.Piece) (httpapi.Done, error) {
		return web.Finished(s.store(c.Request().Context(), piece))
	}
	e.POST(httpapi.PathPiece, web.PostUpTo(httpapi.MaxPieceBytes, put))
	web.AddAdmin(e, s)
	return e
}

// Command returns the command that runs the stand-in.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "piece-store",
		Usage: "run the store of KV cache pieces",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "address to listen on", Required: true},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of random faults", Value: 1},
			&cli.IntFlag{Name: "capacity", Usage: "maximum number of pieces stored", Value: DefaultCapacity},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			store, err := New(cmd.Uint64("seed"), cmd.Int("capacity"))
			if err != nil {
				return err
			}
			return web.Serve(ctx, "piece-store", cmd.String("listen"), Handler(store))
		},
	}
}
