package settings

import "strings"

const maxComparedBytes = 64 // of a name: longer ones are like no other

// suggestion names the known name that s is most likely meant for, or all of them where none is near.
func suggestion(s string, known []string) string {
	best, bestDistance := "", len(s)/3+2
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

// editDistance is how many letters must change, come or go to make a of b (Levenshtein).
func editDistance(a, b string) int {
	if len(a) > maxComparedBytes || len(b) > maxComparedBytes {
		return maxComparedBytes
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

// joinWithOr lists names for a message.
func joinWithOr(names []string) string {
	if len(names) == 1 {
		return names[0]
	}
	return strings.Join(names[:len(names)-1], ", ") + " or " + names[len(names)-1]
}
