package kept

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Entry is a setup try or a playback that may be running at a media box.
type Entry struct {
	Name    string `json:"name"`    // id of the request at the media box, followed by the number of the try
	Address string `json:"address"` // of the media box
	URI     string `json:"uri"`
	At      int64  `json:"at"` // microseconds since 1970
}

// record is one line of a journal. That of an end has only the name and Ended.
type record struct {
	Entry
	Ended bool `json:"ended,omitempty"`
}

const (
	journalSuffix    = ".dialogues"
	queueCapacity    = 1 << 14 // records that may wait for the disk; further ones are dropped and counted
	compactionFactor = 8       // compaction starts beyond compactionFactor * open entries + compactionSlack lines
	compactionSlack  = 1 << 10
	batchInterval    = 10 * time.Millisecond // records that arrive within it are written together
)

// Journal records what is about to be opened at media boxes and what has ended. A process that was killed leaves
// its file behind, and the next one reads from it what may still be running. Each process has its own file and
// holds a lock on it during its lifetime, so that no process treats the file of a running one as orphaned. Each
// line has a checksum: corrupt lines and a truncated tail are skipped.
type Journal struct {
	path    string
	file    *os.File
	queue   chan record
	done    chan struct{}
	open    map[string]Entry // by name
	lines   int              // in the file
	Dropped atomic.Int64     // records not written: the queue was full, or the disk returned an error
	onError func(error)      // called with write errors
}

// NewJournal creates a journal file in a directory, which is created if it does not exist. Write errors are passed
// to onError, a repeated one only once until a write succeeds.
func NewJournal(dir string, onError func(error)) (*Journal, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	j := &Journal{queue: make(chan record, queueCapacity), done: make(chan struct{}), open: map[string]Entry{}, onError: onError}
	for n := 0; ; n++ {
		j.path = filepath.Join(dir, strconv.Itoa(os.Getpid())+"-"+strconv.Itoa(n)+journalSuffix)
		f, err := os.OpenFile(j.path, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
		if errors.Is(err, os.ErrExist) {
			continue
		}
		if err != nil {
			return nil, err
		}
		if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
			_ = f.Close()
			return nil, err
		}
		j.file = f
		break
	}
	go j.run()
	return j, nil
}

// Opened records what may be running from now on. It does not wait for the disk.
func (j *Journal) Opened(o Entry) { j.enqueue(record{Entry: o}) }

// Ended records that it is no longer running.
func (j *Journal) Ended(name string) { j.enqueue(record{Entry: Entry{Name: name}, Ended: true}) }

func (j *Journal) enqueue(r record) {
	select {
	case j.queue <- r:
	default:
		j.Dropped.Add(1)
	}
}

// Close writes the queued records and closes the journal. The file is removed if nothing is open.
func (j *Journal) Close() {
	close(j.queue)
	<-j.done
}

func (j *Journal) run() {
	defer close(j.done)
	var buf []byte
	lastError := ""
	for r := range j.queue {
		buf = j.apply(buf[:0], r)
		for queued := true; queued; { // further queued records go into the same write
			select {
			case r, ok := <-j.queue:
				if queued = ok; ok {
					buf = j.apply(buf, r)
				}
			default:
				queued = false
			}
		}
		var err error
		if j.lines > compactionFactor*len(j.open)+compactionSlack {
			err = j.compact()
		} else {
			_, err = j.file.Write(buf)
		}
		switch {
		case err == nil:
			lastError = ""
		case err.Error() != lastError:
			lastError = err.Error()
			j.onError(fmt.Errorf("journal %s: %w", j.path, err))
			fallthrough
		default:
			j.Dropped.Add(1)
		}
		time.Sleep(batchInterval)
	}
	if len(j.open) == 0 {
		_ = os.Remove(j.path)
	}
	_ = j.file.Close()
}

func (j *Journal) apply(buf []byte, r record) []byte {
	if r.Ended {
		delete(j.open, r.Name)
	} else {
		j.open[r.Name] = r.Entry
	}
	j.lines++
	return appendLine(buf, r)
}

func appendLine(buf []byte, r record) []byte {
	body, err := json.Marshal(r)
	if err != nil {
		return buf // does not happen: no field can fail to marshal
	}
	return append(fmt.Appendf(buf, "%016x ", xxhash.Sum64(body)), append(body, '\n')...)
}

// compact writes a new file that holds only the open entries, and renames it over the old one.
func (j *Journal) compact() error {
	var buf []byte
	for _, name := range slices.Sorted(maps.Keys(j.open)) {
		buf = appendLine(buf, record{Entry: j.open[name]})
	}
	next := strings.TrimSuffix(j.path, journalSuffix) + ".next"
	f, err := os.OpenFile(next, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(buf)
	if err == nil {
		err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	}
	if err == nil {
		err = os.Rename(next, j.path)
	}
	if err != nil {
		_ = f.Close()
		_ = os.Remove(next)
		return err
	}
	_ = j.file.Close()
	j.file, j.lines = f, len(j.open)
	return nil
}

// OrphanedJournal is the journal of a process that has died.
type OrphanedJournal struct {
	path     string
	file     *os.File
	Entries  []Entry // entries that had not ended
	BadLines int     // lines that were corrupt or truncated
}

// FindOrphaned reads the journals of processes that have died, and locks them so that no other process takes them as
// well. Those of running processes are skipped.
func FindOrphaned(dir string) (all []*OrphanedJournal, err error) {
	names, err := filepath.Glob(filepath.Join(dir, "*"+journalSuffix))
	if err != nil {
		return nil, err
	}
	for _, path := range names {
		f, err := os.Open(path)
		if err != nil {
			continue // removed in the meantime, or not readable for this user
		}
		if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil {
			_ = f.Close()
			continue
		}
		if info, err := os.Stat(path); err != nil || !sameFile(f, info) { // replaced or removed in the meantime
			_ = f.Close()
			continue
		}
		l := &OrphanedJournal{path: path, file: f}
		l.read()
		all = append(all, l)
	}
	return all, nil
}

func sameFile(f *os.File, info os.FileInfo) bool {
	opened, err := f.Stat()
	return err == nil && os.SameFile(opened, info)
}

// read collects the entries that are open at the end of a journal.
func (l *OrphanedJournal) read() {
	open := map[string]Entry{}
	lines := bufio.NewScanner(l.file)
	lines.Buffer(nil, 1<<16)
	for lines.Scan() {
		check, body, ok := bytes.Cut(lines.Bytes(), []byte(" "))
		var r record
		if !ok || string(check) != fmt.Sprintf("%016x", xxhash.Sum64(body)) || json.Unmarshal(body, &r) != nil {
			l.BadLines++
			continue
		}
		if r.Ended {
			delete(open, r.Name)
		} else {
			open[r.Name] = r.Entry
		}
	}
	if lines.Err() != nil {
		l.BadLines++
	}
	for _, name := range slices.Sorted(maps.Keys(open)) {
		l.Entries = append(l.Entries, open[name])
	}
}

// Remove removes the file once all its entries have ended.
func (l *OrphanedJournal) Remove() {
	_ = os.Remove(l.path)
	_ = l.file.Close()
}
