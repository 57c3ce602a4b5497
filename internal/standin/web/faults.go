package web

import (
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform/httpapi"
)

// maxFaultsBytes bounds a request to the admin endpoint.
const maxFaultsBytes = 64 << 10

// CheckShare refuses a share that isn't between 0 and 1.
func CheckShare(name string, share float64) error {
	if share < 0 || share > 1 {
		return errors.Errorf("%s: %v is not a share between 0 and 1", name, share)
	}
	return nil
}

// CheckRate refuses a negative rate.
func CheckRate(name string, perSecond int) error {
	if perSecond < 0 {
		return errors.Errorf("%s: %d is not a rate", name, perSecond)
	}
	return nil
}

// Admin is a service whose faults F are switched on order and whose calls are
// counted in C.
type Admin[F, C any] interface {
	SetFaults(F)
	Faults() F
	Counts() C
}

// AddAdmin adds the admin endpoint of a service.
func AddAdmin[F, C any](e *echo.Echo, service Admin[F, C]) {
	e.GET(PathFaults, func(c echo.Context) error {
		return c.JSON(http.StatusOK, service.Faults())
	})
	e.POST(PathFaults, Post(func(_ echo.Context, faults F) (F, error) {
		service.SetFaults(faults)
		return faults, nil
	}))
	e.GET(PathCounts, func(c echo.Context) error {
		return c.JSON(http.StatusOK, service.Counts())
	})
}

// Post returns the handler of a small JSON request.
func Post[Q, A any](handle func(echo.Context, Q) (A, error)) echo.HandlerFunc {
	return PostUpTo(maxFaultsBytes, handle)
}

// PostUpTo returns the handler of a JSON request of at most limit bytes.
func PostUpTo[Q, A any](limit int64, handle func(echo.Context, Q) (A, error)) echo.HandlerFunc {
	return func(c echo.Context) error {
		request, err := Body[Q](c, limit)
		if err != nil {
			return err
		}
		answer, err := handle(c, request)
		if err != nil {
			return err
		}
		return c.JSON(http.StatusOK, answer)
	}
}

// Finished answers a call without a result.
func Finished(err error) (httpapi.Done, error) { return httpapi.Done{}, err }
