package settings

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// declareSingle declares a field of one value. read parses and stores the value s of the file, and
// reports whether it is valid. doc, expected and value are those of Field.
func (f *FieldSet) declareSingle(name, doc, expected string, value func() string, read func(s string) bool) {
	n, values := f.declare(name, doc, expected, value)
	if n == nil {
		return
	}
	if len(values) != 1 {
		f.faults.Add(n.Pos, "%s has %d values, expected one: %s", name, len(values), expected)
		return
	}
	v := values[0]
	if v.Kind == List || !read(v.Text) {
		f.faults.Add(v.Pos, "%s is %s, expected %s", name, v.describe(), expected)
	}
}

// declareList declares a field of one or more different values. read returns the value s of the file as
// it is stored in *target, and reports whether it is valid.
func (f *FieldSet) declareList(name, doc, expected string, target *[]string, read func(s string) (string, bool)) {
	n, values := f.declare(name, doc, expected, func() string {
		var out []string
		for _, s := range *target {
			out = append(out, Quote(s))
		}
		return strings.Join(out, " ")
	})
	if n == nil {
		return
	}
	if len(values) == 0 {
		f.faults.Add(n.Pos, "%s has no value, expected %s", name, expected)
	}
	var out []string
	for _, v := range values {
		s, ok := read(v.Text)
		switch {
		case v.Kind == List || !ok:
			f.faults.Add(v.Pos, "%s is %s, expected %s", name, v.describe(), expected)
		case slices.Contains(out, s):
			f.faults.Add(v.Pos, "%s names %s twice, expected once", name, v.describe())
		default:
			out = append(out, s)
		}
	}
	*target = out
}

// Bool declares a field whose value is on or off.
func (f *FieldSet) Bool(name, doc string, target *bool) {
	f.declareSingle(name, doc, "on or off", func() string {
		if *target {
			return "on"
		}
		return "off"
	}, func(s string) bool {
		*target = s == "on"
		return s == "on" || s == "off"
	})
}

// Int declares an integer from least to most.
func (f *FieldSet) Int(name, doc string, target *int, least, most int) {
	f.declareSingle(name, doc, fmt.Sprintf("a whole number from %d to %d", least, most), func() string { return strconv.Itoa(*target) },
		func(s string) bool {
			x, err := strconv.Atoi(s)
			if err != nil || x < least || x > most {
				return false
			}
			*target = x
			return true
		})
}

// Duration declares a time with its unit, from least to most: 250ms, 1.5s, 10m, 2h, 3d.
func (f *FieldSet) Duration(name, doc string, target *time.Duration, least, most time.Duration) {
	f.declareSingle(name, doc, fmt.Sprintf("a time with its unit from %s to %s", FormatDuration(least), FormatDuration(most)),
		func() string { return FormatDuration(*target) }, func(s string) bool {
			x, ok := ParseDuration(s)
			if !ok || x < least || x > most {
				return false
			}
			*target = x
			return true
		})
}

// Size declares a number of bytes with its unit, from least to most: 512B, 16KiB, 2MiB, 1GiB.
func (f *FieldSet) Size(name, doc string, target *int64, least, most int64) {
	f.declareSingle(name, doc, fmt.Sprintf("a size with its unit from %s to %s", FormatSize(least), FormatSize(most)),
		func() string { return FormatSize(*target) }, func(s string) bool {
			x, ok := ParseSize(s)
			if !ok || x < least || x > most {
				return false
			}
			*target = x
			return true
		})
}

// Percent declares a percentage that is stored as a fraction: 30% as 0.3. least and most are fractions
// too.
func (f *FieldSet) Percent(name, doc string, target *float64, least, most float64) {
	f.declareSingle(name, doc, fmt.Sprintf("a share from %s to %s", formatPercent(least), formatPercent(most)),
		func() string { return formatPercent(*target) }, func(s string) bool {
			number, has := strings.CutSuffix(s, "%")
			x, ok := parseDecimal(number)
			if !has || !ok || x/100 < least || x/100 > most {
				return false
			}
			*target = x / 100
			return true
		})
}

// Enum declares a field whose value is one of names.
func (f *FieldSet) Enum(name, doc string, target *string, names ...string) {
	f.declareSingle(name, doc, joinWithOr(names), func() string { return *target }, func(s string) bool {
		*target = s
		return slices.Contains(names, s)
	})
}

// Enums declares a list of one or more of names, in order of preference, each at most once.
func (f *FieldSet) Enums(name, doc string, target *[]string, names ...string) {
	f.declareList(name, doc, "some of "+joinWithOr(names), target, func(s string) (string, bool) { return s, slices.Contains(names, s) })
}

// Text declares a text. check reports whether it is valid; a nil check accepts every text.
func (f *FieldSet) Text(name, doc, expected string, target *string, check func(s string) bool) {
	f.declareSingle(name, doc, expected, func() string { return Quote(*target) }, func(s string) bool {
		*target = s
		return check == nil || check(s)
	})
}
