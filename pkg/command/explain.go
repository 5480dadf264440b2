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
	// around is how far before and after a request lines on its targets are shown.
	around = 2 * time.Second
	// maxLineBytes bounds a log line.
	maxLineBytes = 1 << 20
)

// logLine is one structured line of a log.
type logLine struct {
	at     time.Time
	file   string
	event  event.ID
	text   string
	fields map[string]any
}

// deciding ranks the events that decide the end of a request, most telling first.
var deciding = []event.ID{event.RequestRefused, event.AttemptFailed, event.RequestEnded}

func newExplain() *Command {
	return &Command{
		name: "explain", args: "ID FILE...", synopsis: "gather the log lines of one request and name the one that decided it",
		help: "ID is the id that the caller gave the request. FILE is the log of a node; give those of all nodes.\n" +
			"Lines on the targets and groups of the request within 2 s of it are shown too.",
		run: func(_ context.Context, e *env, args []string) error {
			if len(args) < 2 {
				return errUsage
			}
			var lines []logLine
			for _, name := range args[1:] {
				read, err := readLog(name)
				if err != nil {
					return err
				}
				lines = append(lines, read...)
			}
			return explain(e.out, args[0], lines)
		},
	}
}

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

// parseLine reads a line. What stands before its JSON, such as the name of the
// node, is kept as the source.
func parseLine(file string, b []byte) (logLine, bool) {
	start := bytes.IndexByte(b, '{')
	if start < 0 {
		return logLine{}, false
	}
	l := logLine{file: cmp.Or(strings.Join(strings.Fields(string(b[:start])), " "), file), text: string(b[start:])}
	if json.Unmarshal(b[start:], &l.fields) != nil {
		return logLine{}, false
	}
	at, _ := l.fields["time"].(string)
	var err error
	if l.at, err = time.Parse(time.RFC3339Nano, at); err != nil {
		return logLine{}, false
	}
	if id, ok := l.fields["event"].(float64); ok {
		l.event = event.ID(id)
	}
	return l, true
}

// explain prints the lines of a request in order of time, and the deciding one.
func explain(out io.Writer, id string, lines []logLine) error {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	var own []logLine
	subjects := map[string]bool{}
	for _, l := range lines {
		if l.fields["request"] != id {
			continue
		}
		own = append(own, l)
		for _, name := range []string{"target", "group", "at_fault"} {
			if value, ok := l.fields[name].(string); ok && value != "" {
				subjects[value] = true
			}
		}
	}
	if len(own) == 0 {
		return errors.Errorf("no line names request %s; give the logs of all nodes", id)
	}
	from, to := own[0].at.Add(-around), own[len(own)-1].at.Add(around)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, l := range lines {
		if l.at.Before(from) || l.at.After(to) || l.fields["request"] != id && !concerns(l, subjects) {
			continue
		}
		fprintf(w, "%s\t%s\t%s\n", l.at.Format("15:04:05.000"), l.file, summary(l))
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "print lines")
	}
	if l, ok := decidingLine(own); ok {
		fprintf(out, "\ndecided by: %s\n", summary(l))
	}
	return nil
}

// concerns reports whether a line is about a target or a group of the request.
// Lines of other requests there are left out.
func concerns(l logLine, subjects map[string]bool) bool {
	if _, request := l.fields["request"]; request {
		return false
	}
	for _, name := range []string{"target", "group", "host", "leader"} {
		if value, ok := l.fields[name].(string); ok && subjects[value] {
			return true
		}
	}
	return false
}

func decidingLine(own []logLine) (logLine, bool) {
	for _, id := range deciding {
		for i := len(own) - 1; i >= 0; i-- {
			if own[i].event == id {
				return own[i], true
			}
		}
	}
	return logLine{}, false
}

// summary is the message with its fields, without what the columns show.
func summary(l logLine) string {
	var fields []string
	for name, value := range l.fields {
		switch name {
		case "time", "level", "msg", "event":
			continue
		}
		var text string
		if n, ok := value.(float64); ok && isDuration(name) {
			text = time.Duration(n).Round(time.Microsecond).String()
		} else {
			b, _ := json.Marshal(value) //nolint:errchkjson // The value was just read from JSON.
			text = string(b)
		}
		fields = append(fields, name+"="+text)
	}
	slices.Sort(fields)
	message, _ := l.fields["msg"].(string)
	return strconv.Itoa(int(l.event)) + " " + message + " " + strings.Join(fields, " ")
}

// isDuration reports whether a field holds nanoseconds.
func isDuration(name string) bool {
	switch name {
	case "age", "predicted", "expected", "retry_after", "first", "took", "evidence_age":
		return true
	}
	return false
}
