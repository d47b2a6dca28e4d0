package edge

import (
	"os"
	"time"
)

// FileVersion identifies the content of a file at some time, by the file and when it was last written.
type FileVersion struct{ info os.FileInfo }

// VersionOf returns the present version of a file. It has to be taken before the content is read that is in force when
// the file is watched.
func VersionOf(path string) FileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return FileVersion{}
	}
	return FileVersion{info}
}

func (v FileVersion) is(info os.FileInfo) bool {
	return v.info != nil && os.SameFile(info, v.info) && info.ModTime().Equal(v.info.ModTime()) && info.Size() == v.info.Size()
}

// WatchFile polls a file at the given interval and calls changed with its content when it has been written or replaced
// since the version that is in force. A file that cannot be read is reported once through failed, until it can be read
// again. It returns when stop is closed.
func WatchFile(path string, inForce FileVersion, interval time.Duration, stop <-chan struct{}, changed func([]byte), failed func(error)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	reported := false
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		info, err := os.Stat(path)
		if err == nil && inForce.is(info) {
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
		reported, inForce = false, FileVersion{info}
		changed(content)
	}
}
