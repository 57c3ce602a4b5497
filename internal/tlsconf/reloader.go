package tlsconf

import (
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/logging"
)

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

var logger = logging.For("tls")

// reloader holds a value loaded from files and reloads it when they change.
type reloader[T any] struct {
	load        func() (*T, error)
	paths       []string
	mu          sync.Mutex
	value       *T
	loadedInfos []os.FileInfo // of the files when value was loaded
	lastCheck   time.Time
}

// newReloader returns a reloader whose value is already loaded.
func newReloader[T any](load func() (*T, error), paths ...string) (*reloader[T], error) {
	r := &reloader[T]{load: load, paths: paths}
	infos, err := stat(paths)
	if err != nil {
		return nil, err
	}
	if r.value, err = load(); err != nil {
		return nil, err
	}
	r.loadedInfos = infos
	r.lastCheck = time.Now()
	return r, nil
}

// get returns the value, reloaded if the files have changed. If they cannot be loaded,
// it returns the previous value.
func (r *reloader[T]) get() *T {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.lastCheck) < checkInterval {
		return r.value
	}
	r.lastCheck = now
	r.refresh()
	return r.value
}

// refresh loads changed files. A load that failed is retried at the next check,
// since a certificate and its key are not replaced at the same moment.
func (r *reloader[T]) refresh() {
	infos, err := stat(r.paths)
	if err == nil && slices.EqualFunc(infos, r.loadedInfos, unchanged) {
		return
	}
	var value *T
	if err == nil {
		value, err = r.load()
	}
	if err != nil {
		logger.Error(logging.Fields{"error": err.Error()}, "cannot load the changed TLS files; still using the previous ones")
		return
	}
	r.value = value
	r.loadedInfos = infos
	logger.Info(logging.Fields{"files": r.paths}, "loaded the changed TLS files")
}

func stat(paths []string) ([]os.FileInfo, error) {
	infos := make([]os.FileInfo, len(paths))
	for i, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, errors.Wrap(err, "check TLS file")
		}
		infos[i] = info
	}
	return infos, nil
}

// unchanged reports whether a file is as it was when it was loaded. SameFile detects
// a file replaced by renaming even within one tick of the file system's clock.
func unchanged(current, loaded os.FileInfo) bool {
	return os.SameFile(current, loaded) && current.Size() == loaded.Size() && current.ModTime().Equal(loaded.ModTime())
}
