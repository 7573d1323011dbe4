package standin

import (
	"hash/fnv"
	"io"
	"math/rand/v2"
	"strings"
)

// Content returns the answer to the request with an id: a line with the id, then size bytes that depend on the id, so
// that a reader can tell a wrong, mixed or truncated answer.
func Content(id string, size int) io.Reader {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	filler := &filler{random: rand.New(rand.NewPCG(hash.Sum64(), uint64(size)))}
	return io.MultiReader(strings.NewReader("request="+id+"\n"), io.LimitReader(filler, int64(size)))
}

// filler is an endless reader of pseudo-random letters.
type filler struct{ random *rand.Rand }

// Read implements io.Reader.
func (f *filler) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'a' + byte(f.random.Uint32()%26)
	}
	return len(p), nil
}
