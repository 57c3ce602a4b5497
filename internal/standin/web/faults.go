package web

import (
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform/httpapi"
)

// maxFaultsBytes is the maximum size of a request to the admin endpoint.
const maxFaultsBytes = 64 << 10

// CheckShare rejects a share that isn't between 0 and 1.
func CheckShare(name string, share float64) error {
	if share < 0 || share > 1 {
		return errors.Errorf("%s: %v is not a share between 0 and 1", name, share)
	}
	return nil
}

// CheckRate rejects a negative rate.
func CheckRate(name string, perSecond int) error {
	if perSecond < 0 {
		return errors.Errorf("%s: %d is not a rate", name, perSecond)
	}
	return nil
}

// Admin is a service with injectable faults F and call counts C.
type Admin[F, C any] interface {
	SetFaults(F)
	Faults() F
	Counts() C
}

// AddAdmin adds the admin endpoint of a service to e.
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

// Post returns the handler of a JSON request of at most maxFaultsBytes.
func Post[Q, R any](handle func(echo.Context, Q) (R, error)) echo.HandlerFunc {
	return PostUpTo(maxFaultsBytes, handle)
}

// PostUpTo returns the handler of a JSON request of at most limit bytes.
func PostUpTo[Q, R any](limit int64, handle func(echo.Context, Q) (R, error)) echo.HandlerFunc {
	return func(c echo.Context) error {
		request, err := Body[Q](c, limit)
		if err != nil {
			return err
		}
		response, err := handle(c, request)
		if err != nil {
			return err
		}
		return c.JSON(http.StatusOK, response)
	}
}

// Finished returns the response to a call without a result.
func Finished(err error) (httpapi.Done, error) { return httpapi.Done{}, err }
