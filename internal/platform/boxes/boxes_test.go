package boxes

import (
	"reflect"
	"strings"
	"testing"
)

const accept = `{"op":"accept","call":"9b1f03aa5c7e2d41","with":{"load":"x0:0.4","n":7},"desc":"9d41\r\nc=é\r\n"}` + "\n"

func TestLinesAtAnySplit(t *testing.T) {
	text := accept + "\r\n" + `{"op":"end","call":"9b1f03aa5c7e2d41","with":{},"why":34}` + "\n"
	want := []*Message{{Op: Accept, Call: "9b1f03aa5c7e2d41", With: map[string]string{"load": "x0:0.4", "n": "7"}, Desc: "9d41\r\nc=é\r\n"},
		{Op: End, Call: "9b1f03aa5c7e2d41", Why: 34}}
	for cut := range len(text) {
		var got []*Message
		r := &Reader{}
		for _, part := range []string{text[:cut], text[cut:]} {
			if err := r.Feed([]byte(part), func(m *Message) { got = append(got, m) }); err != nil {
				t.Fatal(cut, err)
			}
		}
		if !reflect.DeepEqual(got, want) || r.Held() > 0 {
			t.Fatalf("cut at %d: %+v", cut, got)
		}
	}
}

func TestWritten(t *testing.T) {
	m := &Message{Op: Offer, Call: "9b1f03aa5c7e2d41", With: map[string]string{"class": "a<b"}, Desc: "x\r\n"}
	if got := string(m.Append(nil)); got != `{"op":"offer","call":"9b1f03aa5c7e2d41","with":{"class":"a<b"},"desc":"x\r\n"}`+"\n" {
		t.Error(got)
	}
	m = &Message{Op: Test, Call: "9b1f03aa5c7e2d41"}
	if got := string(m.Append(nil)); got != `{"op":"test","call":"9b1f03aa5c7e2d41","with":{},"why":0}`+"\n" {
		t.Error(got)
	}
}

func TestUnreadable(t *testing.T) {
	for _, bad := range []string{"noise\n", "{}\n", strings.Replace(accept, "9b1f", "9B1F", 1), strings.Replace(accept, "7}", "[7]}", 1),
		strings.Replace(accept, "9d41", "\xff", 1), strings.Repeat("x", Longest+1), `{"op":"end","call":"9b1f03aa5c7e2d41","why":-1}` + "\n"} {
		r := &Reader{}
		n := 0
		if err := r.Feed([]byte(bad), func(*Message) { n++ }); err == nil || n > 0 {
			t.Errorf("no error for %.40q", bad)
		}
		if err := r.Feed([]byte(accept), func(*Message) { n++ }); err != nil || n > 0 || r.Held() > 0 {
			t.Errorf("%.40q is read on", bad)
		}
	}
}

func FuzzFeed(f *testing.F) {
	f.Add([]byte(accept), 3)
	f.Fuzz(func(t *testing.T, b []byte, cut int) {
		r := &Reader{}
		cut = min(max(cut, 0), len(b))
		for _, part := range [][]byte{b[:cut], b[cut:]} {
			_ = r.Feed(part, func(m *Message) {
				again, err := Parse(m.Append(nil))
				if err != nil || again.Desc != m.Desc || !reflect.DeepEqual(again.With, m.With) && len(m.With) > 0 {
					t.Errorf("%+v became %+v, %v", m, again, err)
				}
			})
		}
		if r.Held() > Longest {
			t.Error(r.Held())
		}
	})
}
