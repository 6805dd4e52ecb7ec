package settings

import "strings"

const maxComparedBytes = 64 // longer names are not compared, and are similar to no other

// suggestion returns the end of the message of a fault about the unknown name s. It contains the known
// name that is most similar, or all known names if none is similar. It is empty if known is empty.
func suggestion(s string, known []string) string {
	best, bestDistance := "", len(s)/3+2 // a name is similar if fewer edits than this change s to it
	for _, k := range known {
		if d := editDistance(s, k); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	switch {
	case best != "":
		return ", did you mean " + best + "?"
	case len(known) > 0:
		return ", expected " + joinWithOr(known)
	}
	return ""
}

// editDistance returns the Levenshtein distance of a and b: the number of bytes to insert, delete or
// replace. It returns maxComparedBytes if one of them is longer than that.
func editDistance(a, b string) int {
	if len(a) > maxComparedBytes || len(b) > maxComparedBytes {
		return maxComparedBytes
	}
	row := make([]int, len(b)+1) // distances of the first i bytes of a from each prefix of b
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0] // distance of the first i-1 bytes of a from the first j-1 of b
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

// joinWithOr joins names for a message: a, b or c.
func joinWithOr(names []string) string {
	if len(names) == 1 {
		return names[0]
	}
	return strings.Join(names[:len(names)-1], ", ") + " or " + names[len(names)-1]
}
