package rules

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/oleanderline/oleanderline"
)

// basePrefix starts the base line, the first line of a file that was fetched with "oleanderctl show". It is not published.
const basePrefix = "# base-revision: "

// AddBase inserts the base line, which names the revision, as the first line. A byte order mark stays in front of it.
func AddBase(text string, revision oleanderline.Revision) string {
	rest, marked := strings.CutPrefix(text, byteOrderMark)
	text = fmt.Sprintf("%s%d\n%s", basePrefix, revision, rest)
	if marked {
		text = byteOrderMark + text
	}
	return text
}

// CutBase is the inverse of AddBase. found reports whether the text had a base line.
func CutBase(text string) (rest string, revision oleanderline.Revision, found bool) {
	body, marked := strings.CutPrefix(text, byteOrderMark)
	first, after, _ := strings.Cut(body, "\n")
	digits, ok := strings.CutPrefix(strings.TrimSuffix(first, "\r"), basePrefix)
	n, err := strconv.ParseInt(digits, 10, 64)
	if !ok || err != nil || n < 0 {
		return text, 0, false
	}
	if marked {
		after = byteOrderMark + after
	}
	return after, oleanderline.Revision(n), true
}
