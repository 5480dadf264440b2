package target

import "github.com/cespare/xxhash/v2"

const (
	// prefixBlockBytes is the difference in length of successive hashed prefixes.
	prefixBlockBytes = 1024
	// maxPrefixes limits the number of hashes of one prompt.
	maxPrefixes = 32
)

// PrefixHashes returns the hashes of the prefixes of a prompt, shortest first.
// The hashes also cover the model, so that the same prompt has different hashes
// for different models. Engines report the same hashes in their cache events.
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
