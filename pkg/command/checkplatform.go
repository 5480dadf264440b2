package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"unicode"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/memory"
	"github.com/apricotgrade/apricotgrade/platform"
)

// faultsError reports that a configuration has errors, which have been printed.
type faultsError struct{ file string }

func (e *faultsError) Error() string { return e.file + ": has errors; do not send it" }

func newCheckPlatform() *Command {
	inForce, asJSON := "", false
	memoryMB := memory.DefaultProcessBytes >> 20
	return &Command{
		name: "check-platform", args: "FILE", synopsis: "check a configuration of the platform before it is sent, without a server",
		help: "Reports errors, warnings and notes; only errors change the exit code. FILE \"-\" is standard input.",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&inForce, "against", "", "also show the differences from the configuration in force, in this `file`")
			f.IntVar(&memoryMB, "memory-mb", memoryMB, "memory of the smallest entry host in MiB")
			f.BoolVar(&asJSON, "json", false, "print JSON")
		},
		run: func(_ context.Context, e *environment, args []string) error {
			if len(args) != 1 || memoryMB <= 0 || args[0] == "-" && inForce == "-" {
				return errUsage
			}
			check := platform.ConfigCheck{MemoryBytes: int64(memoryMB) << 20}
			var err error
			if check.File, err = readConfig(e, args[0]); err != nil {
				return err
			}
			if inForce != "" {
				file, err := readConfig(e, inForce)
				if err != nil {
					return err
				}
				check.InForce = &file
			}
			return reportFindings(e.stdout, args[0], check.Run(), asJSON)
		},
	}
}

func readConfig(e *environment, path string) (platform.ConfigFile, error) {
	var content []byte
	var err error
	if path == "-" {
		content, err = io.ReadAll(e.stdin)
	} else {
		content, err = os.ReadFile(path)
	}
	return platform.ConfigFile{Name: path, Content: content}, errors.Wrap(err, "read configuration")
}

// configReport is the JSON form of the result of a check.
type configReport struct {
	File     string             `json:"file"`
	Errors   int                `json:"errors"`
	Warnings int                `json:"warnings"`
	Notes    int                `json:"notes"`
	Findings []platform.Finding `json:"findings"`
}

// reportFindings prints the findings and returns an error if there is an error among them.
func reportFindings(out io.Writer, file string, findings []platform.Finding, asJSON bool) error {
	numbers := map[platform.Severity]int{}
	for _, f := range findings {
		numbers[f.Severity]++
	}
	summary := configReport{
		File: file, Errors: numbers[platform.SeverityError], Warnings: numbers[platform.SeverityWarning], Notes: numbers[platform.SeverityNote],
		Findings: append([]platform.Finding{}, findings...),
	}
	if asJSON {
		if err := writeJSON(out, summary); err != nil {
			return err
		}
	} else {
		printFindings(out, summary)
	}
	if summary.Errors > 0 {
		return &faultsError{file: file}
	}
	return nil
}

func printFindings(out io.Writer, r configReport) {
	for _, f := range r.Findings {
		parts := []string{fmt.Sprintf("%s:%d:%d", f.Place.File, f.Place.Line, f.Place.Column), fmt.Sprintf("%s %s", f.Severity, f.Code)}
		for _, part := range []string{f.Place.Entry, f.Place.Field, f.Message} {
			if part != "" {
				parts = append(parts, part)
			}
		}
		fprintln(out, printable(strings.Join(parts, ": ")))
		if f.Remedy != "" {
			fprintln(out, printable("    remedy: "+f.Remedy))
		}
	}
	fprintf(out, "%s: errors %d, warnings %d, notes %d\n", r.File, r.Errors, r.Warnings, r.Notes)
}

// printable replaces characters that would break the line or control the terminal. Names
// in the file may contain them.
func printable(line string) string {
	return strings.Map(func(c rune) rune {
		if unicode.IsPrint(c) {
			return c
		}
		return unicode.ReplacementChar
	}, line)
}
