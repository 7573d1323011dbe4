package standin

import (
	"hash/fnv"
	"io"
	"math/rand/v2"
	"strings"
)

// Content returns the answer to the request with an id: a line with the id, then size pseudo-random bytes that depend on
// the id and the size, so that a reader can detect a wrong, mixed-up or truncated answer.
func Content(id string, size int) io.Reader {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	letters := &letterReader{random: rand.New(rand.NewPCG(hash.Sum64(), uint64(size)))}
	return io.MultiReader(strings.NewReader("request="+id+"\n"), io.LimitReader(letters, int64(size)))
}

// letterReader is an infinite reader of pseudo-random letters.
type letterReader struct{ random *rand.Rand }

// Read implements io.Reader.
func (r *letterReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'a' + byte(r.random.Uint32()%26)
	}
	return len(p), nil
}
