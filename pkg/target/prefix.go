package target

import "github.com/cespare/xxhash/v2"

const (
	// prefixBlock is the step between hashed prefixes of a prompt, in bytes.
	prefixBlock = 1024
	// maxPrefixes bounds the hashes of one prompt.
	maxPrefixes = 32
)

// PrefixHashes returns the hashes of the prefixes of a prompt, shortest first.
// A prompt for another model has other hashes. Engines report the same hashes
// in their cache events.
func PrefixHashes(model string, prompt []byte) []uint64 {
	n := min(len(prompt)/prefixBlock, maxPrefixes)
	if n == 0 {
		return nil
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	_, _ = digest.Write([]byte{0})
	hashes := make([]uint64, 0, n)
	for i := range n {
		_, _ = digest.Write(prompt[i*prefixBlock : (i+1)*prefixBlock])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
