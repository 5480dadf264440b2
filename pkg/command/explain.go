package command

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// contextWindow is the time before and after a request within which lines about
	// its targets and groups are shown.
	contextWindow = 2 * time.Second
	// maxLineBytes bounds the length of a log line.
	maxLineBytes = 1 << 20
)

// logLine is one structured line of a node's log.
type logLine struct {
	timestamp time.Time
	source    string
	event     event.ID
	raw       string
	fields    map[string]any
}

// decidingEvents lists the events that determine how a request ended, most specific
// first.
var decidingEvents = []event.ID{event.RequestRefused, event.AttemptFailed, event.RequestEnded}

func newExplain() *Command {
	return &Command{
		name: "explain", args: "ID FILE...", synopsis: "collect the log lines of one request and show the line that decided it",
		help: "ID is the request id that the caller sent. FILE is the log of a node; give the logs of all nodes.\n" +
			"Lines about the targets and groups of the request within 2 s of it are shown too.",
		run: func(_ context.Context, e *environment, args []string) error {
			if len(args) < 2 {
				return errUsage
			}
			var lines []logLine
			for _, name := range args[1:] {
				fileLines, err := readLog(name)
				if err != nil {
					return err
				}
				lines = append(lines, fileLines...)
			}
			return explain(e.stdout, args[0], lines)
		},
	}
}

// readLog returns the structured lines of a log file and ignores all others.
func readLog(name string) ([]logLine, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer func() { _ = file.Close() }()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	var lines []logLine
	for scanner.Scan() {
		if l, ok := parseLine(name, scanner.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "read log")
}

// parseLine parses a line. A prefix before its JSON, such as the name of the node,
// becomes the source in place of the file name.
func parseLine(file string, content []byte) (logLine, bool) {
	start := bytes.IndexByte(content, '{')
	if start < 0 {
		return logLine{}, false
	}
	l := logLine{source: cmp.Or(strings.Join(strings.Fields(string(content[:start])), " "), file), raw: string(content[start:])}
	if json.Unmarshal(content[start:], &l.fields) != nil {
		return logLine{}, false
	}
	timestamp, _ := l.fields["time"].(string)
	var err error
	if l.timestamp, err = time.Parse(time.RFC3339Nano, timestamp); err != nil {
		return logLine{}, false
	}
	if id, ok := l.fields["event"].(float64); ok {
		l.event = event.ID(id)
	}
	return l, true
}

// explain prints the lines of a request and the lines related to it in order of
// time, and then the line that decided the request.
func explain(out io.Writer, requestID string, lines []logLine) error {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.timestamp.Compare(b.timestamp) })
	var requestLines []logLine
	relatedNames := map[string]bool{}
	for _, l := range lines {
		if l.fields["request"] != requestID {
			continue
		}
		requestLines = append(requestLines, l)
		for _, name := range []string{"target", "group", "at_fault"} {
			if value, ok := l.fields[name].(string); ok && value != "" {
				relatedNames[value] = true
			}
		}
	}
	if len(requestLines) == 0 {
		return errors.Errorf("no log line names request %s; give the logs of all nodes", requestID)
	}
	windowStart, windowEnd := requestLines[0].timestamp.Add(-contextWindow), requestLines[len(requestLines)-1].timestamp.Add(contextWindow)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, l := range lines {
		if l.timestamp.Before(windowStart) || l.timestamp.After(windowEnd) || l.fields["request"] != requestID && !isRelated(l, relatedNames) {
			continue
		}
		fprintf(w, "%s\t%s\t%s\n", l.timestamp.Format("15:04:05.000"), l.source, summary(l))
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "print lines")
	}
	if l, ok := decidingLine(requestLines); ok {
		fprintf(out, "\ndecided by: %s\n", summary(l))
	}
	return nil
}

// isRelated reports whether a line names a target, group or host of the request.
// Lines about other requests are not related.
func isRelated(l logLine, relatedNames map[string]bool) bool {
	if _, isRequestLine := l.fields["request"]; isRequestLine {
		return false
	}
	for _, name := range []string{"target", "group", "host", "leader"} {
		if value, ok := l.fields[name].(string); ok && relatedNames[value] {
			return true
		}
	}
	return false
}

// decidingLine returns the last line of the most specific deciding event.
func decidingLine(requestLines []logLine) (logLine, bool) {
	for _, id := range decidingEvents {
		for i := len(requestLines) - 1; i >= 0; i-- {
			if requestLines[i].event == id {
				return requestLines[i], true
			}
		}
	}
	return logLine{}, false
}

// summary returns the event, the message and the other fields of a line, without
// those that have a column of their own.
func summary(l logLine) string {
	var fields []string
	for name, value := range l.fields {
		switch name {
		case "time", "level", "msg", "event":
			continue
		}
		var text string
		if n, ok := value.(float64); ok && isDurationField(name) {
			text = time.Duration(n).Round(time.Microsecond).String()
		} else {
			encoded, _ := json.Marshal(value) //nolint:errchkjson // The value was just read from JSON.
			text = string(encoded)
		}
		fields = append(fields, name+"="+text)
	}
	slices.Sort(fields)
	message, _ := l.fields["msg"].(string)
	return strconv.Itoa(int(l.event)) + " " + message + " " + strings.Join(fields, " ")
}

// isDurationField reports whether the field of this name is a duration in
// nanoseconds.
func isDurationField(name string) bool {
	switch name {
	case "age", "predicted", "expected", "retry_after", "first", "took", "evidence_age":
		return true
	}
	return false
}
