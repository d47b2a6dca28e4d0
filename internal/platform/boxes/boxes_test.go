package boxes

import (
	"reflect"
	"strings"
	"testing"
)

const acceptLine = `{"op":"accept","call":"9b1f03aa5c7e2d41","with":{"load":"x0:0.4","n":7},"desc":"9d41\r\nc=é\r\n"}` + "\n"

func TestFeedSplitAnywhere(t *testing.T) {
	text := acceptLine + "\r\n" + `{"op":"end","call":"9b1f03aa5c7e2d41","with":{},"why":34}` + "\n"
	want := []*Message{{Op: Accept, SessionID: "9b1f03aa5c7e2d41", Fields: map[string]string{"load": "x0:0.4", "n": "7"}, Description: "9d41\r\nc=é\r\n"},
		{Op: End, SessionID: "9b1f03aa5c7e2d41", Cause: 34}}
	for cut := range len(text) {
		var got []*Message
		reader := &Reader{}
		for _, part := range []string{text[:cut], text[cut:]} {
			if err := reader.Feed([]byte(part), func(m *Message) { got = append(got, m) }); err != nil {
				t.Fatal(cut, err)
			}
		}
		if !reflect.DeepEqual(got, want) || reader.Buffered() > 0 {
			t.Fatalf("split at byte %d: got %+v", cut, got)
		}
	}
}

func TestAppend(t *testing.T) {
	msg := &Message{Op: Offer, SessionID: "9b1f03aa5c7e2d41", Fields: map[string]string{"class": "a<b"}, Description: "x\r\n"}
	if got := string(msg.Append(nil)); got != `{"op":"offer","call":"9b1f03aa5c7e2d41","with":{"class":"a<b"},"desc":"x\r\n"}`+"\n" {
		t.Error(got)
	}
	msg = &Message{Op: Test, SessionID: "9b1f03aa5c7e2d41"}
	if got := string(msg.Append(nil)); got != `{"op":"test","call":"9b1f03aa5c7e2d41","with":{},"why":0}`+"\n" {
		t.Error(got)
	}
}

func TestFeedRejectsMalformedLines(t *testing.T) {
	for _, input := range []string{"noise\n", "{}\n", strings.Replace(acceptLine, "9b1f", "9B1F", 1), strings.Replace(acceptLine, "7}", "[7]}", 1),
		strings.Replace(acceptLine, "9d41", "\xff", 1), strings.Repeat("x", MaxMessageSize+1), `{"op":"end","call":"9b1f03aa5c7e2d41","why":-1}` + "\n"} {
		reader := &Reader{}
		count := 0
		if err := reader.Feed([]byte(input), func(*Message) { count++ }); err == nil || count > 0 {
			t.Errorf("no error for %.40q", input)
		}
		if err := reader.Feed([]byte(acceptLine), func(*Message) { count++ }); err != nil || count > 0 || reader.Buffered() > 0 {
			t.Errorf("input is still decoded after the error for %.40q", input)
		}
	}
}

func FuzzFeed(f *testing.F) {
	f.Add([]byte(acceptLine), 3)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		reader := &Reader{}
		cut = min(max(cut, 0), len(data))
		for _, part := range [][]byte{data[:cut], data[cut:]} {
			_ = reader.Feed(part, func(m *Message) {
				decoded, err := Parse(m.Append(nil))
				if err != nil || decoded.Description != m.Description || !reflect.DeepEqual(decoded.Fields, m.Fields) && len(m.Fields) > 0 {
					t.Errorf("%+v was decoded as %+v, %v", m, decoded, err)
				}
			})
		}
		if reader.Buffered() > MaxMessageSize {
			t.Error(reader.Buffered())
		}
	})
}
