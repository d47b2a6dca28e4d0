package main

import (
	"bytes"
	"encoding/hex"
	"strings"
	"testing"
)

func TestRun(t *testing.T) {
	const empty = "000000010000000000000008" + "4020d3126e978d50"
	for name, c := range map[string]struct{ in, out, err string }{
		"end of input":     {"", "", ""},
		"empty batch":      {empty, "0000000100000000", ""},
		"unknown instance": {"00000001" + "00000001" + "00000014" + "4020d3126e978d50" + "04240003000000000000004d", "", "unknown instance"},
		"bad start":        {"00000001" + "00000001" + "00000018" + "4020d3126e978d50" + "03e80003" + "0000000000000001" + "00000000", "", "start information"},
		"truncated":        {empty[:30], "", "truncated"},
	} {
		in, err := hex.DecodeString(c.in)
		if err != nil {
			t.Fatal(name, err)
		}
		var out bytes.Buffer
		err = run(bytes.NewReader(in), &out)
		if got := hex.EncodeToString(out.Bytes()); got != c.out {
			t.Errorf("%s: reply %s", name, got)
		}
		if (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s: unexpected error %v", name, err)
		}
	}
}
