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
	// blockBytes is the size of one prefix block, in bytes of prompt text.
	blockBytes = 256
	// defaultOutputTokens is the output length for a prompt without a length marker.
	defaultOutputTokens = 24
)

var (
	// lengthMarker in a prompt sets the output length in tokens.
	lengthMarker = regexp.MustCompile(`\[\[out=(\d+)\]\]`)
	// delayMarker in a request body delays the service's answer by a duration such as 300ms.
	delayMarker = regexp.MustCompile(`\[\[slow=([0-9a-z]+)\]\]`)
)

// ExpectedToken returns the token that the engine generates for a prompt at index i, counted from 0.
func ExpectedToken(prompt string, i int) string {
	return token(xxhash.Sum64String(prompt), i)
}

// token returns the token at index i, counted from 0, of a run whose prompt has the hash seed.
func token(seed uint64, i int) string {
	return fmt.Sprintf("w%04x ", uint16(seed>>16)^uint16(i*40503))
}

// ExpectedText returns the first n tokens that the engine generates for a prompt.
func ExpectedText(prompt string, n int) string {
	var b strings.Builder
	seed := xxhash.Sum64String(prompt)
	for i := range n {
		b.WriteString(token(seed, i))
	}
	return b.String()
}

// OutputLength returns the output length, in tokens, that the length marker in a prompt sets, or the default length.
func OutputLength(prompt string) int {
	match := lengthMarker.FindStringSubmatch(prompt)
	if match == nil {
		return defaultOutputTokens
	}
	n, err := strconv.Atoi(match[1])
	if err != nil {
		return defaultOutputTokens
	}
	return n
}

// delay returns the duration that the delay marker in a request body sets, or 0.
func delay(body string) time.Duration {
	match := delayMarker.FindStringSubmatch(body)
	if match == nil {
		return 0
	}
	d, err := time.ParseDuration(match[1])
	if err != nil {
		return 0
	}
	return d
}

// blockHashes returns the hashes of a prompt's complete prefix blocks; each covers the block and all text before it.
func blockHashes(prompt string) []uint64 {
	var hashes []uint64
	hash := xxhash.New()
	for len(prompt) >= blockBytes {
		_, _ = hash.WriteString(prompt[:blockBytes])
		hashes = append(hashes, hash.Sum64())
		prompt = prompt[blockBytes:]
	}
	return hashes
}
