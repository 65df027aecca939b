package engine

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockBytes is the size of one prefix block in bytes of prompt text.
	blockBytes = 256
	// defaultOut is the output length of a prompt without a marker, in tokens.
	defaultOut = 24
)

var (
	outMarker  = regexp.MustCompile(`\[\[out=(\d+)\]\]`)
	slowMarker = regexp.MustCompile(`\[\[slow=([0-9a-z]+)\]\]`)
)

// Token returns the i-th token that a stand-in engine generates for a prompt.
func Token(prompt string, i int) string {
	return token(xxhash.Sum64String(prompt), i)
}

func token(seed uint64, i int) string {
	return fmt.Sprintf("w%04x ", uint16(seed>>16)^uint16(i*40503))
}

// Text returns the first n tokens that a stand-in engine generates for a prompt.
func Text(prompt string, n int) string {
	var b strings.Builder
	seed := xxhash.Sum64String(prompt)
	for i := range n {
		b.WriteString(token(seed, i))
	}
	return b.String()
}

// Length returns the output length that a prompt asks for by its marker, in tokens.
func Length(prompt string) int {
	m := outMarker.FindStringSubmatch(prompt)
	if m == nil {
		return defaultOut
	}
	n, err := strconv.Atoi(m[1])
	if err != nil {
		return defaultOut
	}
	return n
}

// delay returns the pause that a request body asks for by its marker.
func delay(body string) time.Duration {
	m := slowMarker.FindStringSubmatch(body)
	if m == nil {
		return 0
	}
	d, err := time.ParseDuration(m[1])
	if err != nil {
		return 0
	}
	return d
}

// blocks returns the chained hashes of the whole prefix blocks of a prompt.
func blocks(prompt string) []uint64 {
	var out []uint64
	h := xxhash.New()
	for len(prompt) >= blockBytes {
		_, _ = h.WriteString(prompt[:blockBytes])
		out = append(out, h.Sum64())
		prompt = prompt[blockBytes:]
	}
	return out
}
