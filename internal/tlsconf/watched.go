package tlsconf

import (
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/logging"
)

// checkInterval is the least time between two looks at the files.
const checkInterval = time.Second

var tlsLog = logging.For("tls")

// watched is a value read from files, and read again when they change.
type watched[T any] struct {
	load    func() (*T, error)
	paths   []string
	mu      sync.Mutex
	value   *T
	read    []os.FileInfo // of the files when they were read
	checked time.Time
}

// watch reads the value for the first time.
func watch[T any](load func() (*T, error), paths ...string) (*watched[T], error) {
	w := &watched[T]{load: load, paths: paths}
	infos, err := stat(paths)
	if err != nil {
		return nil, err
	}
	if w.value, err = load(); err != nil {
		return nil, err
	}
	w.read = infos
	w.checked = time.Now()
	return w, nil
}

// get returns the value. If the files have changed but can't be read, the old
// value stays in force.
func (w *watched[T]) get() *T {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.Sub(w.checked) < checkInterval {
		return w.value
	}
	w.checked = now
	w.refresh()
	return w.value
}

// refresh reads changed files. Files that failed are read again until they are
// whole, as a certificate and its key don't change at the same moment.
func (w *watched[T]) refresh() {
	infos, err := stat(w.paths)
	if err == nil && slices.EqualFunc(infos, w.read, unchanged) {
		return
	}
	var value *T
	if err == nil {
		value, err = w.load()
	}
	if err != nil {
		tlsLog.Error(logging.Fields{"error": err.Error()}, "changed files can't be read, the old ones stay in force")
		return
	}
	w.value = value
	w.read = infos
	tlsLog.Info(logging.Fields{"files": w.paths}, "changed files are in force")
}

func stat(paths []string) ([]os.FileInfo, error) {
	infos := make([]os.FileInfo, len(paths))
	for i, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, errors.Wrap(err, "TLS file")
		}
		infos[i] = info
	}
	return infos, nil
}

// unchanged compares a file with its state when it was read. A file replaced by
// renaming differs even within one tick of the file system's clock.
func unchanged(now, then os.FileInfo) bool {
	return os.SameFile(now, then) && now.Size() == then.Size() && now.ModTime().Equal(then.ModTime())
}
