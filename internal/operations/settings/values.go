package settings

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// declareSingle reads a field of one value. read reports whether the value is valid.
func (f *FieldSet) declareSingle(name, doc, want string, value func() string, read func(s string) bool) {
	n, values := f.declare(name, doc, want, value)
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

// declareList reads a field of several values. read gives a value as it is stored, and reports whether it is valid.
func (f *FieldSet) declareList(name, doc, want string, to *[]string, read func(s string) (string, bool)) {
	n, values := f.declare(name, doc, want, func() string {
		var out []string
		for _, s := range *to {
			out = append(out, Quote(s))
		}
		return strings.Join(out, " ")
	})
	if n == nil {
		return
	}
	if len(values) == 0 {
		f.faults.Add(n.Pos, "%s has no value, expected %s", name, want)
	}
	var out []string
	for _, v := range values {
		s, ok := read(v.Text)
		switch {
		case v.Kind == List || !ok:
			f.faults.Add(v.Pos, "%s is %s, expected %s", name, v.describe(), want)
		case slices.Contains(out, s):
			f.faults.Add(v.Pos, "%s names %s twice, expected once", name, v.describe())
		default:
			out = append(out, s)
		}
	}
	*to = out
}

// Bool declares on or off.
func (f *FieldSet) Bool(name, doc string, to *bool) {
	f.declareSingle(name, doc, "on or off", func() string {
		if *to {
			return "on"
		}
		return "off"
	}, func(s string) bool {
		*to = s == "on"
		return s == "on" || s == "off"
	})
}

// Int declares an integer between least and most.
func (f *FieldSet) Int(name, doc string, to *int, least, most int) {
	f.declareSingle(name, doc, fmt.Sprintf("a whole number from %d to %d", least, most), func() string { return strconv.Itoa(*to) },
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
func (f *FieldSet) Duration(name, doc string, to *time.Duration, least, most time.Duration) {
	f.declareSingle(name, doc, fmt.Sprintf("a time with its unit from %s to %s", FormatDuration(least), FormatDuration(most)),
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
func (f *FieldSet) Size(name, doc string, to *int64, least, most int64) {
	f.declareSingle(name, doc, fmt.Sprintf("a size with its unit from %s to %s", FormatSize(least), FormatSize(most)),
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
func (f *FieldSet) Percent(name, doc string, to *float64, least, most float64) {
	f.declareSingle(name, doc, fmt.Sprintf("a share from %s to %s", formatPercent(least), formatPercent(most)),
		func() string { return formatPercent(*to) }, func(s string) bool {
			number, has := strings.CutSuffix(s, "%")
			x, ok := parseDecimal(number)
			if !has || !ok || x/100 < least || x/100 > most {
				return false
			}
			*to = x / 100
			return true
		})
}

// Enum declares one of some names.
func (f *FieldSet) Enum(name, doc string, to *string, names ...string) {
	f.declareSingle(name, doc, joinWithOr(names), func() string { return *to }, func(s string) bool {
		*to = s
		return slices.Contains(names, s)
	})
}

// Enums declares a list of some names, in the order of preference, each at most once.
func (f *FieldSet) Enums(name, doc string, to *[]string, names ...string) {
	f.declareList(name, doc, "some of "+joinWithOr(names), to, func(s string) (string, bool) { return s, slices.Contains(names, s) })
}

// Text declares a text that check accepts; check may be nil.
func (f *FieldSet) Text(name, doc, want string, to *string, check func(s string) bool) {
	f.declareSingle(name, doc, want, func() string { return Quote(*to) }, func(s string) bool {
		*to = s
		return check == nil || check(s)
	})
}
