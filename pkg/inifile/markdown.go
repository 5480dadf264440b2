package inifile

import (
	"fmt"
	"strings"
)

// Markdown returns the reference documentation of the table.
func (t Table) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n\n%s\n", t.Title, t.Help)
	for _, s := range t.Sections {
		fmt.Fprintf(&b, "\n### `[%s]`\n\n%s\n\n", s.header(), s.Help)
		b.WriteString("| key | type | unit | default | range | meaning |\n|---|---|---|---|---|---|\n")
		for _, k := range s.Keys {
			fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n",
				k.nameCell(), kindNames[k.Kind], orDash(k.unitCell()), k.defaultCell(), orDash(k.rangeCell()), k.Help)
		}
	}
	return b.String()
}

func (k Key) nameCell() string {
	if k.Kind == Secret {
		return "`" + k.Name + "`, `" + k.Name + fileSuffix + "`"
	}
	return "`" + k.Name + "`"
}

func (k Key) unitCell() string {
	if k.Kind == Duration {
		return "time with unit"
	}
	return k.Unit
}

func (k Key) defaultCell() string {
	switch {
	case k.DefaultNote != "":
		return k.DefaultNote
	case k.Required:
		return "required"
	case k.Default == "":
		return "none"
	}
	return "`" + k.Default + "`"
}

func (k Key) rangeCell() string {
	if k.Kind == Choice {
		return strings.Join(k.Choices, ", ")
	}
	return k.Range()
}

func orDash(s string) string {
	if s == "" {
		return "–"
	}
	return s
}
