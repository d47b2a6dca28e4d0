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

// rangePattern matches the ranges that a day's seed draws from: 10~30, or 0.5~1.5.
var rangePattern = regexp.MustCompile(`([0-9]*\.?[0-9]+)~([0-9]*\.?[0-9]+)`)

// drawRanges replaces each range by a number drawn from it, a whole number if both ends are. The numbers of a line
// depend on the seed and the line alone, so adding or removing a line does not change the others.
func drawRanges(text string, seed uint64) (string, error) {
	var lines []string
	for line := range strings.SplitSeq(text, "\n") {
		drawn, err := drawLine(line, seed)
		if err != nil {
			return "", err
		}
		lines = append(lines, drawn)
	}
	return strings.Join(lines, "\n"), nil
}

func drawLine(line string, seed uint64) (string, error) {
	var rangeErr error
	index, lineHash := uint64(0), xxhash.Sum64String(line)
	out := rangePattern.ReplaceAllStringFunc(line, func(match string) string {
		index++
		rng := rand.New(rand.NewPCG(seed, lineHash+index))
		lowText, highText, _ := strings.Cut(match, "~")
		low, err := strconv.ParseFloat(lowText, 64)
		high, highErr := strconv.ParseFloat(highText, 64)
		if err != nil || highErr != nil || low > high {
			rangeErr = fmt.Errorf("%s: expected a range such as 10~30, its lower end first", match)
			return lowText
		}
		if !strings.Contains(match, ".") {
			return strconv.Itoa(int(low) + rng.IntN(int(high)-int(low)+1))
		}
		return strconv.FormatFloat(low+(high-low)*rng.Float64(), 'f', 3, 64)
	})
	return out, rangeErr
}

// WithSeed returns the same day with its ranges drawn from another seed.
func (d *Day) WithSeed(seed uint64) (*Day, error) {
	text, err := drawRanges(d.Text, seed)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", d.Name, err)
	}
	drawn, err := parse(d.Name, text)
	if err != nil {
		return nil, err
	}
	drawn.Seed, drawn.Text, drawn.Policy = seed, d.Text, d.Policy
	return drawn, nil
}

// SetValues changes words of a day's text, such as "fleet.managers" or "plan live-lesson.rate", to given values. Troubles are
// identified by their order: "at 2.boxes" is in the second. The value "off" of the word "line" removes the whole line.
func SetValues(text string, words map[string]string) (string, error) {
	lines := strings.Split(text, "\n")
	for _, key := range sortedKeys(words) {
		value := words[key]
		lineName, word, ok := strings.Cut(key, ".")
		first, name, _ := strings.Cut(lineName, " ")
		if !ok || first == "" || word == "" {
			return "", fmt.Errorf("%s: expected a line and one of its words, such as fleet.managers", key)
		}
		position, _ := strconv.Atoi(name)
		matches, found := 0, -1
		for i, line := range lines {
			code, _, _ := strings.Cut(line, "#")
			fields := strings.Fields(code)
			if len(fields) == 0 || fields[0] != first {
				continue
			}
			if matches++; name == "" || first == "at" && matches == position || first != "at" && len(fields) > 1 && fields[1] == name {
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
		code, comment, hasComment := strings.Cut(lines[found], "#")
		fields := strings.Fields(code)
		if value == "off" && word == "line" {
			lines = slices.Delete(lines, found, found+1)
			continue
		}
		done := false
		for i := range fields {
			if fieldName, _, ok := strings.Cut(fields[i], "="); ok && fieldName == word {
				fields[i], done = word+"="+value, true
			}
		}
		if !done {
			fields = append(fields, word+"="+value)
		}
		if lines[found] = strings.Join(fields, " "); hasComment {
			lines[found] += " #" + comment
		}
	}
	return strings.Join(lines, "\n"), nil
}
