package settings

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// unit is a unit of time or of size. size is its length in nanoseconds or its number of bytes.
type unit[T int64 | time.Duration] struct {
	name string
	size T
}

// The units, the largest first. A value is printed in the largest unit that it is a multiple of.
var (
	timeUnits = []unit[time.Duration]{{"d", 24 * time.Hour}, {"h", time.Hour}, {"m", time.Minute}, {"s", time.Second},
		{"ms", time.Millisecond}, {"us", time.Microsecond}, {"ns", 1}}
	sizeUnits = []unit[int64]{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}
)

// ParseDuration parses a decimal number with one unit of time: d, h, m, s, ms, us or ns. The bool
// reports whether s is valid.
func ParseDuration(s string) (time.Duration, bool) { return parseUnit(s, timeUnits) }

// FormatDuration returns a time in the format of ParseDuration.
func FormatDuration(d time.Duration) string { return formatUnit(d, timeUnits) }

// ParseSize parses a decimal number with one unit of size: B, KiB, MiB or GiB. It returns the number of
// bytes and reports whether s is valid.
func ParseSize(s string) (int64, bool) { return parseUnit(s, sizeUnits) }

// FormatSize returns a number of bytes in the format of ParseSize.
func FormatSize(n int64) string { return formatUnit(n, sizeUnits) }

// letters are the characters that names of units consist of.
const letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

// parseUnit parses a decimal number that is followed by the name of one of units, and rounds it to
// an integer. It returns false if s is invalid or too large.
func parseUnit[T int64 | time.Duration](s string, units []unit[T]) (T, bool) {
	digits := strings.TrimRight(s, letters)
	for _, u := range units {
		if s[len(digits):] != u.name {
			continue
		}
		x, ok := parseDecimal(digits)
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

// formatUnit returns x in the largest unit of which x is a multiple. Zero is in the smallest unit.
func formatUnit[T int64 | time.Duration](x T, units []unit[T]) string {
	for _, u := range units {
		if x != 0 && x%u.size == 0 {
			return strconv.FormatInt(int64(x/u.size), 10) + u.name
		}
	}
	return "0" + units[len(units)-1].name
}

// parseDecimal parses digits with at most one point, and reports whether s is valid. ParseFloat alone
// would also accept names such as Inf, exponents and signs.
func parseDecimal(s string) (float64, bool) {
	if s == "" || strings.Trim(s, "0123456789.") != "" {
		return 0, false
	}
	x, err := strconv.ParseFloat(s, 64)
	return x, err == nil
}

// formatPercent returns a fraction as a percentage: 0.3 becomes 30%.
func formatPercent(x float64) string { return strconv.FormatFloat(x*100, 'f', -1, 64) + "%" }
