package simwire

import (
	"bytes"
	"encoding/hex"
	"io"
	"strings"
	"testing"

	"pierlink/session"
)

// frame returns one frame of the given records, which are in hexadecimal.
func frame(t *testing.T, parts ...string) []byte {
	t.Helper()
	body, err := hex.DecodeString(strings.ReplaceAll("4020d3126e978d50"+strings.Join(parts, ""), " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	n := len(parts)
	head := []byte{0, 0, 0, 12, 0, 0, 0, byte(n), 0, 0, byte(len(body) >> 8), byte(len(body))}
	return append(head, body...)
}

const (
	request = "03fc 0003 5d3a91c4 40214df3b645a1cb 00000000 00 40000000 3f889374bc6a7efa 01 91f03b7c55d20a64" +
		"40400000 2b8e6401d9f37c10 00000000"
	wakeup = "0424 0003 000000000000004d"
	list   = "0460 00000000 00000001 01 01 0a9011f2 13b4 0000 4018666666666666 3fc00000 0007"
	listed = "03f2 0003 00 0000000000000029 00000000"
	result = "0410 0003 5d3a91c4 0000 0a124a07 138b 0000 3f92f1a9fbe76c8b 01 03 40e000003ecccccd3fa00000"
	note   = "0456 0003 5d3a91c4 0000 0a124a07 138b 01 3f000000"
)

func TestEvents(t *testing.T) {
	b, err := NewReader(bytes.NewReader(frame(t, request, list, listed, result, note, wakeup))).Next()
	if err != nil || len(b.Events) != 5 || b.Number != 12 || b.Now != 8412250 {
		t.Fatalf("%+v, %v", b, err)
	}
	r := b.Events[0].Request
	if b.Events[0].ID != 0x5d3a91c4 || r.AbandonAt != 8652250 || r.Top != 2 || r.CellCount != 3 ||
		r.TitleID != 0x2b8e6401d9f37c10 {
		t.Errorf("unexpected request: %+v", b.Events[0])
	}
	e := b.Events[1].Entries
	if len(e) != 1 || e[0].Zone != 1 || e[0].Started != 6100000 || e[0].Weight != 1.5 || e[0].Cell != 7 {
		t.Errorf("unexpected server list: %+v", e)
	}
	if v := b.Events[2].LoadValues; !b.Events[2].Final || len(v) != 3 || v[2] != 1.25 {
		t.Errorf("unexpected result: %+v", b.Events[2])
	}
	if n := b.Events[3].Note; n.Kind != session.DeliveredShare || n.Value != 0.5 {
		t.Errorf("unexpected note: %+v", n)
	}
	if b.Events[4].Token != 0x4d {
		t.Errorf("unexpected timer expiry: %+v", b.Events[4])
	}
}

func TestReply(t *testing.T) {
	var r Reply
	var out bytes.Buffer
	s := Server{0x0a, 0x12, 0x4a, 0x07, 0x13, 0x8b}
	r.SetRung(3, 0x5d3a91c4, 2)
	r.Try(3, 0x5d3a91c4, s, 80000)
	r.Wake(3, 8568000, 0x4d)
	if err := r.WriteTo(&out, 12); err != nil {
		t.Fatal(err)
	}
	want := "0000000c00000033" + "040600035d3a91c402" + "044c00035d3a91c40a124a07138b3fb47ae147ae147b" +
		"03fc0003402122d0e5604189000000000000004d"
	if got := hex.EncodeToString(out.Bytes()); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

func TestMalformed(t *testing.T) {
	long := frame(t, wakeup)
	long[3+8] = 250
	for name, in := range map[string][]byte{
		"truncated frame":   frame(t, request)[:40],
		"truncated header":  {0, 0, 1},
		"over-long frame":   {0, 0, 0, 1, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff},
		"length too large":  long,
		"truncated record":  frame(t, wakeup[:14]),
		"unknown record":    frame(t, "0999 0003"),
		"unknown outcome":   frame(t, strings.Replace(result, "0000 3f92", "0009 3f92", 1)),
		"list number":       frame(t, strings.Replace(list, "00000000", "00000010", 1)),
		"more entries":      frame(t, strings.Replace(list, "00000001", "7fffffff", 1)),
		"bytes left over":   append(frame(t, wakeup)[:11], append([]byte{21}, append(frame(t, wakeup)[12:], 0)...)...),
		"list kind":         frame(t, strings.Replace(listed, "0003 00", "0003 07", 1)),
		"not a finite time": frame(t, strings.Replace(request, "40214df3b645a1cb", "7ff8000000000000", 1)),
	} {
		if _, err := NewReader(bytes.NewReader(in)).Next(); err == nil || err == io.EOF {
			t.Errorf("%s: expected an error other than io.EOF, got %v", name, err)
		}
	}
	if _, err := NewReader(bytes.NewReader(nil)).Next(); err != io.EOF {
		t.Errorf("end of input: expected io.EOF, got %v", err)
	}
}

func FuzzNext(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00\x00\x08\x40\x20\xd3\x12\x6e\x97\x8d\x50"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r := NewReader(bytes.NewReader(in))
		for range 3 {
			if _, err := r.Next(); err != nil {
				return
			}
		}
	})
}
