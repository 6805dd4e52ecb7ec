package settings

import (
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"
	"time"
)

type unit[T int64 | time.Duration] struct {
	name string
	size T
}

// Largest first; a value is printed in the largest unit that it is a whole number of.
var (
	timeUnits = []unit[time.Duration]{{"d", 24 * time.Hour}, {"h", time.Hour}, {"m", time.Minute}, {"s", time.Second},
		{"ms", time.Millisecond}, {"us", time.Microsecond}, {"ns", 1}}
	sizeUnits = []unit[int64]{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}
)

// ParseDuration reads a time with one unit: d, h, m, s, ms, us or ns.
func ParseDuration(s string) (time.Duration, bool) { return parseUnit(s, timeUnits) }

// FormatDuration writes it back.
func FormatDuration(d time.Duration) string { return formatUnit(d, timeUnits) }

// ParseSize reads a number of bytes with its unit: B, KiB, MiB or GiB.
func ParseSize(s string) (int64, bool) { return parseUnit(s, sizeUnits) }

// FormatSize writes it back.
func FormatSize(n int64) string { return formatUnit(n, sizeUnits) }

func parseUnit[T int64 | time.Duration](s string, units []unit[T]) (T, bool) {
	digits := strings.TrimRight(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")
	for _, u := range units {
		if s[len(digits):] != u.name {
			continue
		}
		x, ok := decimal(digits)
		if !ok {
			return 0, false
		}
		if x *= float64(u.size); x >= math.MaxInt64 {
			return 0, false
		}
		return T(math.Round(x)), true
	}
	return 0, false
}

func formatUnit[T int64 | time.Duration](x T, units []unit[T]) string {
	for _, u := range units {
		if x != 0 && x%u.size == 0 {
			return strconv.FormatInt(int64(x/u.size), 10) + u.name
		}
	}
	return "0" + units[len(units)-1].name
}

// decimal reads digits with at most one point. ParseFloat alone takes words, exponents and signs as well.
func decimal(s string) (float64, bool) {
	if s == "" || strings.Trim(s, "0123456789.") != "" {
		return 0, false
	}
	x, err := strconv.ParseFloat(s, 64)
	return x, err == nil
}

func sortedKeys(m map[string]string) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// nearest names the known name that s is most likely meant for, or all of them where none is near.
func nearest(s string, known []string) string {
	best, least := "", len(s)/3+2
	for _, k := range known {
		if d := distance(s, k); d < least {
			best, least = k, d
		}
	}
	switch {
	case best != "":
		return ", did you mean " + best + "?"
	case len(known) > 0:
		return ", expected " + oneOf(known)
	}
	return ""
}

// distance is how many letters must change, come or go to make a of b (Levenshtein).
func distance(a, b string) int {
	if len(a) > 64 || len(b) > 64 {
		return 64
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			change := diagonal
			if a[i-1] != b[j-1] {
				change++
			}
			diagonal = row[j]
			row[j] = min(change, row[j]+1, row[j-1]+1)
		}
	}
	return row[len(b)]
}

// one reads a field of a single value. read tells whether it fits.
func (f *Form) one(name, doc, want string, value func() string, read func(s string) bool) {
	n, values := f.take(name, doc, want, value)
	if n == nil {
		return
	}
	if len(values) != 1 {
		f.faults.Add(n.Pos, "%s has %d values, expected one: %s", name, len(values), want)
		return
	}
	v := values[0]
	if v.Kind == List || !read(v.Text) {
		f.faults.Add(v.Pos, "%s is %s, expected %s", name, v.describe(), want)
	}
}

// Bool declares on or off.
func (f *Form) Bool(name, doc string, to *bool) {
	f.one(name, doc, "on or off", func() string {
		if *to {
			return "on"
		}
		return "off"
	}, func(s string) bool {
		*to = s == "on"
		return s == "on" || s == "off"
	})
}

// Int declares a whole number between least and most.
func (f *Form) Int(name, doc string, to *int, least, most int) {
	f.one(name, doc, fmt.Sprintf("a whole number from %d to %d", least, most), func() string { return strconv.Itoa(*to) },
		func(s string) bool {
			x, err := strconv.Atoi(s)
			if err != nil || x < least || x > most {
				return false
			}
			*to = x
			return true
		})
}

// Duration declares a time with its unit: 250ms, 1.5s, 10m, 2h, 3d.
func (f *Form) Duration(name, doc string, to *time.Duration, least, most time.Duration) {
	f.one(name, doc, fmt.Sprintf("a time with its unit from %s to %s", FormatDuration(least), FormatDuration(most)),
		func() string { return FormatDuration(*to) }, func(s string) bool {
			x, ok := ParseDuration(s)
			if !ok || x < least || x > most {
				return false
			}
			*to = x
			return true
		})
}

// Size declares a number of bytes with its unit: 512B, 16KiB, 2MiB, 1GiB.
func (f *Form) Size(name, doc string, to *int64, least, most int64) {
	f.one(name, doc, fmt.Sprintf("a size with its unit from %s to %s", FormatSize(least), FormatSize(most)),
		func() string { return FormatSize(*to) }, func(s string) bool {
			x, ok := ParseSize(s)
			if !ok || x < least || x > most {
				return false
			}
			*to = x
			return true
		})
}

// Percent declares a share: 30% becomes 0.3.
func (f *Form) Percent(name, doc string, to *float64, least, most float64) {
	f.one(name, doc, fmt.Sprintf("a share from %s to %s", formatPercent(least), formatPercent(most)),
		func() string { return formatPercent(*to) }, func(s string) bool {
			number, has := strings.CutSuffix(s, "%")
			x, ok := decimal(number)
			if !has || !ok || x/100 < least || x/100 > most {
				return false
			}
			*to = x / 100
			return true
		})
}

func formatPercent(x float64) string { return strconv.FormatFloat(x*100, 'f', -1, 64) + "%" }

// Enum declares one of some words.
func (f *Form) Enum(name, doc string, to *string, words ...string) {
	f.one(name, doc, oneOf(words), func() string { return *to }, func(s string) bool {
		*to = s
		return contains(words, s)
	})
}

func oneOf(words []string) string {
	if len(words) == 1 {
		return words[0]
	}
	return strings.Join(words[:len(words)-1], ", ") + " or " + words[len(words)-1]
}

// Enums declares a list of some words, in the order of preference, each at most once.
func (f *Form) Enums(name, doc string, to *[]string, words ...string) {
	f.many(name, doc, "some of "+oneOf(words), to, func(s string) (string, bool) { return s, contains(words, s) })
}

// Text declares a text that check accepts; check may be nil.
func (f *Form) Text(name, doc, want string, to *string, check func(s string) bool) {
	f.one(name, doc, want, func() string { return Quote(*to) }, func(s string) bool {
		*to = s
		return check == nil || check(s)
	})
}
