//go:build unix

package connlimit

import "golang.org/x/sys/unix"

// descriptorLimit returns how many descriptors the process may have open. It is read each
// time, since it may be lowered while the process runs.
func descriptorLimit() (int, bool) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, false
	}
	return int(min(limit.Cur, 1<<30)), true
}
