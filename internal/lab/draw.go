package lab

import (
	"fmt"
	"math/rand/v2"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ranges are what a day's seed draws from: 10~30, or 0.5~1.5.
var rangePattern = regexp.MustCompile(`([0-9]*\.?[0-9]+)~([0-9]*\.?[0-9]+)`)

// drawn puts a number of its range in the place of each range, whole numbers where both ends are. What a line
// gets depends on the seed and the line alone: a line more or less leaves the others as they were.
func drawRanges(text string, seed uint64) (string, error) {
	var all []string
	for line := range strings.SplitSeq(text, "\n") {
		x, err := drawLine(line, seed)
		if err != nil {
			return "", err
		}
		all = append(all, x)
	}
	return strings.Join(all, "\n"), nil
}

func drawLine(line string, seed uint64) (string, error) {
	var bad error
	n, of := uint64(0), xxhash.Sum64String(line)
	out := rangePattern.ReplaceAllStringFunc(line, func(s string) string {
		n++
		rng := rand.New(rand.NewPCG(seed, of+n))
		a, b, _ := strings.Cut(s, "~")
		x, err := strconv.ParseFloat(a, 64)
		y, err2 := strconv.ParseFloat(b, 64)
		if err != nil || err2 != nil || x > y {
			bad = fmt.Errorf("%s: a range such as 10~30 was expected", s)
			return a
		}
		if !strings.Contains(s, ".") {
			return strconv.Itoa(int(x) + rng.IntN(int(y)-int(x)+1))
		}
		return strconv.FormatFloat(x+(y-x)*rng.Float64(), 'f', 3, 64)
	})
	return out, bad
}

// With is the same day as another seed draws it.
func (d *Day) With(seed uint64) (*Day, error) {
	text, err := drawRanges(d.Text, seed)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", d.Name, err)
	}
	x, err := parse(d.Name, text)
	if err != nil {
		return nil, err
	}
	x.Seed, x.Text, x.Policy = seed, d.Text, d.Policy
	return x, nil
}

// Set changes words of a day's text: "fleet.managers" or "plan live-lesson.rate" to a value. Troubles are told
// by their place: "at 2.boxes" is of the second. A value of "off" takes the whole line out.
func Set(text string, words map[string]string) (string, error) {
	lines := strings.Split(text, "\n")
	for _, key := range sortedKeys(words) {
		value := words[key]
		where, word, ok := strings.Cut(key, ".")
		first, name, _ := strings.Cut(where, " ")
		if !ok || first == "" || word == "" {
			return "", fmt.Errorf("%s: a line and a word of it were expected, such as fleet.managers", key)
		}
		place, _ := strconv.Atoi(name)
		n, found := 0, -1
		for i, line := range lines {
			code, _, _ := strings.Cut(line, "#")
			f := strings.Fields(code)
			if len(f) == 0 || f[0] != first {
				continue
			}
			if n++; name == "" || first == "at" && n == place || first != "at" && len(f) > 1 && f[1] == name {
				found = i
				break
			}
		}
		if found < 0 {
			if first == "at" || name != "" {
				return "", fmt.Errorf("%s: the day has no such line", key)
			}
			lines = append(lines, first+" "+word+"="+value)
			continue
		}
		code, note, noted := strings.Cut(lines[found], "#")
		f := strings.Fields(code)
		if value == "off" && word == "line" {
			lines = slices.Delete(lines, found, found+1)
			continue
		}
		done := false
		for i := range f {
			if k, _, ok := strings.Cut(f[i], "="); ok && k == word {
				f[i], done = word+"="+value, true
			}
		}
		if !done {
			f = append(f, word+"="+value)
		}
		if lines[found] = strings.Join(f, " "); noted {
			lines[found] += " #" + note
		}
	}
	return strings.Join(lines, "\n"), nil
}
