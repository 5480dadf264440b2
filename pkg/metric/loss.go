package metric

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// lossRetention is how long a lost target is remembered. All its connections end at
// about the same time.
const lossRetention = 10 * time.Second

// targetProcess identifies one process of a target; its zero value is none.
type targetProcess struct {
	instance state.HostID
	startID  int64
}

// lossMetrics counts the targets whose connection was lost after the head of a stream
// and before its first event. Several such streams of one process count once.
type lossMetrics struct {
	targets *metrics.Counter
	// lostAt holds the processes that were counted within lossRetention.
	lostAt map[targetProcess]time.Duration
}

func newLossMetrics(set *metrics.Set) *lossMetrics {
	return &lossMetrics{targets: set.NewCounter("apricotgrade_targets_lost_before_first_event_total"), lostAt: map[targetProcess]time.Duration{}}
}

// record counts the loss of a process.
func (l *lossMetrics) record(now time.Duration, process targetProcess) {
	if process == (targetProcess{}) {
		return
	}
	for p, at := range l.lostAt {
		if now-at > lossRetention {
			delete(l.lostAt, p)
		}
	}
	if _, counted := l.lostAt[process]; !counted {
		l.targets.Inc()
		l.lostAt[process] = now
	}
}

// streamAttempts holds the targets of the latest attempts of a stream. It is an array
// because it is part of each open request.
type streamAttempts [4]struct {
	number  int
	process targetProcess
}

func (s *streamAttempts) add(start state.StartAttempt) {
	entry := &s[start.Attempt%len(s)]
	entry.number, entry.process = start.Attempt, targetProcess{start.ExpectedInstance, start.StartID}
}

// target returns the process of an attempt.
func (s *streamAttempts) target(attempt int) targetProcess {
	if entry := s[attempt%len(s)]; entry.number == attempt {
		return entry.process
	}
	return targetProcess{}
}
