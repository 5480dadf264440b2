package target

import "github.com/cespare/xxhash/v2"

const (
	// prefixBlockBytes is the step between hashed prefixes of a prompt, in bytes.
	prefixBlockBytes = 1024
	// maxPrefixes bounds the hashes of one prompt.
	maxPrefixes = 32
)

// PrefixHashes returns the hashes of the prefixes of a prompt, shortest first.
// A prompt for another model has other hashes. Engines report the same hashes
// in their cache events.
func PrefixHashes(model string, prompt []byte) []uint64 {
	blocks := min(len(prompt)/prefixBlockBytes, maxPrefixes)
	if blocks == 0 {
		return nil
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	_, _ = digest.Write([]byte{0})
	hashes := make([]uint64, 0, blocks)
	for i := range blocks {
		_, _ = digest.Write(prompt[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
