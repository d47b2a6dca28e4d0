package edge

import (
	"os"
	"time"
)

// WatchFile polls a file at the given interval and calls changed with its content when it has been written or replaced.
// A file that cannot be read is reported once through failed, until it can be read again. It returns when stop is closed.
func WatchFile(path string, interval time.Duration, stop <-chan struct{}, changed func([]byte), failed func(error)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	var previous os.FileInfo
	if i, err := os.Stat(path); err == nil {
		previous = i
	}
	reported := false
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		info, err := os.Stat(path)
		if err == nil && previous != nil && os.SameFile(info, previous) && info.ModTime().Equal(previous.ModTime()) && info.Size() == previous.Size() {
			continue
		}
		var content []byte
		if err == nil {
			content, err = os.ReadFile(path)
		}
		if err != nil {
			if !reported {
				failed(err)
			}
			reported = true
			continue
		}
		reported, previous = false, info
		changed(content)
	}
}
