package rules

// nearest returns the known word with the smallest edit distance to word, or "" if all are too different for word to be a
// likely misspelling.
func nearest(word string, known []string) string {
	const maxWord = 40
	if len(word) > maxWord {
		return ""
	}
	best := ""
	bound := max(1, len(word)/2)
	for _, candidate := range known {
		if d := editDistance(word, candidate); d <= bound {
			best, bound = candidate, d-1
		}
	}
	return best
}

// editDistance returns the Levenshtein distance between a and b, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost = min(diagonal, row[j], row[j+1]) + 1
			}
			diagonal, row[j+1] = row[j+1], cost
		}
	}
	return row[len(b)]
}
