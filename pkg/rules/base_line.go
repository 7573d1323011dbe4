package rules

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/oleanderline/oleanderline"
)

// basePrefix begins the first line of a file that was fetched with "oleanderctl show". The line is not published.
const basePrefix = "# base-revision: "

// AddBase puts the line that names the revision in front of the text, behind a byte order mark.
func AddBase(text string, revision oleanderline.Revision) string {
	rest, marked := strings.CutPrefix(text, byteOrderMark)
	text = fmt.Sprintf("%s%d\n%s", basePrefix, revision, rest)
	if marked {
		text = byteOrderMark + text
	}
	return text
}

// CutBase is the reverse of AddBase. It reports whether the text had such a line.
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
