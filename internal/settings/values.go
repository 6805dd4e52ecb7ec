package settings

import (
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
