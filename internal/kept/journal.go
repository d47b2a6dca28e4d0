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

// Open is a try or a playback that may run at a box.
type Open struct {
	Name    string `json:"name"`    // of the request at the box, with the try's number behind it
	Address string `json:"address"` // of the box
	URI     string `json:"uri"`
	At      int64  `json:"at"` // microseconds since 1970
}

// record is one line of a journal; a name alone says that it has ended.
type record struct {
	Open
	Ended bool `json:"ended,omitempty"`
}

const (
	journalSuffix    = ".dialogues"
	queueCapacity    = 1 << 14 // records that wait for the disk; beyond, they are lost and counted
	compactionFactor = 8       // times as many lines as what is open, and some, until the file is written anew
	compactionSlack  = 1 << 10
	batchInterval    = 10 * time.Millisecond // what comes within is written in one go
)

// Journal writes down what is open at boxes, before it can be, and when it has ended. A process that was
// killed leaves its file behind; the next one finds in it what may still run. Each process has a file of its
// own and holds a lock on it for as long as it lives, so that two never take each other's for left behind.
// Lines have a checksum each: a flipped one is passed over, a truncated tail too.
type Journal struct {
	path    string
	file    *os.File
	queue   chan record
	done    chan struct{}
	open    map[string]Open
	lines   int
	Dropped    atomic.Int64 // records that the disk was too slow for, or that it refused
	onError func(error)
}

// NewJournal begins a file of its own in a directory, which is made if there is none. fail is told what the
// disk refuses, once for each kind of trouble in a row.
func NewJournal(dir string, fail func(error)) (*Journal, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	j := &Journal{queue: make(chan record, queueCapacity), done: make(chan struct{}), open: map[string]Open{}, onError: fail}
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

// Opened notes what may run from now on. It does not wait for the disk.
func (j *Journal) Opened(o Open) { j.enqueue(record{Open: o}) }

// Ended notes that it does no more.
func (j *Journal) Ended(name string) { j.enqueue(record{Open: Open{Name: name}, Ended: true}) }

func (j *Journal) enqueue(r record) {
	select {
	case j.queue <- r:
	default:
		j.Dropped.Add(1)
	}
}

// Close ends the journal. Where nothing is open any more its file goes.
func (j *Journal) Close() {
	close(j.queue)
	<-j.done
}

func (j *Journal) run() {
	defer close(j.done)
	var buf []byte
	failed := ""
	for r := range j.queue {
		buf = j.apply(buf[:0], r)
		for more := true; more; { // what has come meanwhile goes in one write
			select {
			case r, ok := <-j.queue:
				if more = ok; ok {
					buf = j.apply(buf, r)
				}
			default:
				more = false
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
			failed = ""
		case err.Error() != failed:
			failed = err.Error()
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
		j.open[r.Name] = r.Open
	}
	j.lines++
	return appendLine(buf, r)
}

func appendLine(buf []byte, r record) []byte {
	body, err := json.Marshal(r)
	if err != nil {
		return buf // no field of it can fail
	}
	return append(fmt.Appendf(buf, "%016x ", xxhash.Sum64(body)), append(body, '\n')...)
}

// anew writes the file once more with what is open only, beside the old one, and takes its place.
func (j *Journal) compact() error {
	var buf []byte
	for _, name := range slices.Sorted(maps.Keys(j.open)) {
		buf = appendLine(buf, record{Open: j.open[name]})
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

// Left is what a dead process left behind.
type Left struct {
	path string
	file *os.File
	Open []Open
	Bad  int // lines that could not be read
}

// Behind finds the files of processes that have died, and locks them so that no other process takes them
// too. Those of living ones are passed over.
func Behind(dir string) (all []*Left, err error) {
	names, err := filepath.Glob(filepath.Join(dir, "*"+journalSuffix))
	if err != nil {
		return nil, err
	}
	for _, path := range names {
		f, err := os.Open(path)
		if err != nil {
			continue // it has gone meanwhile, or is not ours to read
		}
		if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil {
			_ = f.Close()
			continue
		}
		if now, err := os.Stat(path); err != nil || !sameFile(f, now) { // replaced or removed while we looked
			_ = f.Close()
			continue
		}
		l := &Left{path: path, file: f}
		l.read()
		all = append(all, l)
	}
	return all, nil
}

func sameFile(f *os.File, now os.FileInfo) bool {
	mine, err := f.Stat()
	return err == nil && os.SameFile(mine, now)
}

// read finds what was open at the end of a journal.
func (l *Left) read() {
	open := map[string]Open{}
	rows := bufio.NewScanner(l.file)
	rows.Buffer(nil, 1<<16)
	for rows.Scan() {
		check, body, ok := bytes.Cut(rows.Bytes(), []byte(" "))
		var r record
		if !ok || string(check) != fmt.Sprintf("%016x", xxhash.Sum64(body)) || json.Unmarshal(body, &r) != nil {
			l.Bad++
			continue
		}
		if r.Ended {
			delete(open, r.Name)
		} else {
			open[r.Name] = r.Open
		}
	}
	if rows.Err() != nil {
		l.Bad++
	}
	for _, name := range slices.Sorted(maps.Keys(open)) {
		l.Open = append(l.Open, open[name])
	}
}

// Done removes the file: what it told of has ended.
func (l *Left) Done() {
	_ = os.Remove(l.path)
	_ = l.file.Close()
}
