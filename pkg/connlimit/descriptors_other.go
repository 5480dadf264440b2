//go:build !unix

package connlimit

func descriptorLimit() (int, bool) { return 0, false }
