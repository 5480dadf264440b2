package command

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/operator"
)

// printStatus prints a status as text.
func printStatus(out io.Writer, s operator.Status) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printSummary(w, s)
	fprintln(w, "\nNODE\tDATA CENTRE\tADDRESS\tVERSION\tSTATE")
	for _, n := range s.Nodes {
		fprintf(w, "%s\t%s\t%s\t%d\t%s\n", n.ID, n.DataCentre, n.Address, n.Version,
			words("up", word(!n.Linked, "no link"), word(n.Leaving, "leaving"), word(n.Version < s.Version, "behind")))
	}
	fprintln(w, "\nDATA CENTRE\tREGION\tHOSTS\tSTATE")
	for _, d := range s.DataCentres {
		fprintf(w, "%s\t%s\t%d\t%s\n", d.Name, orDash(d.Region), d.Hosts, words("in", word(d.Out, "out")))
	}
	fprintln(w, "\nGROUP\tMODEL\tDATA CENTRE\tDOMAIN\tPHASE\tSTATE\tMEMBERS")
	for _, g := range s.Groups {
		state := words("whole", word(!g.Whole, "not whole"), word(g.Straggler, "straggler"), word(g.Idle, "idle"),
			word(len(g.Dead) > 0, "dead: "+strings.Join(g.Dead, " ")))
		fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", g.Name, modelName(g), g.DataCentre, orDash(g.Domain), g.Phase, state,
			orDash(strings.Join(g.Members, " ")))
	}
	fprintln(w, "\nTARGET\tDATA CENTRE\tLIMIT\tSHARE\tIN FLIGHT\tPEERS\tSTATE")
	for _, t := range s.Targets {
		fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%s\n", t.ID, t.DataCentre, t.Limit, t.Share, t.InFlight, t.PeersInFlight,
			words("warm", word(t.Cold, "cold"), word(t.Suspect, "suspect"), word(t.Out, "out")))
	}
	fprintln(w, "\nACCOUNT\tWEIGHT\tCONCURRENCY\tIN FLIGHT\tPEERS\tQUEUED")
	for _, a := range s.Accounts {
		fprintf(w, "%s\t%d\t%s\t%d\t%d\t%d\n", a.Name, a.Weight, orNone(a.Concurrency), a.InFlight, a.PeersInFlight, a.Queued)
	}
	if len(s.Leases) > 0 {
		fprintln(w, "\nLEASE\tHOLDER\tFENCE")
	}
	for _, l := range s.Leases {
		fprintf(w, "%s\t%s\t%d\n", l.DataCentre, l.Holder, l.Fence)
	}
	return errors.Wrap(w.Flush(), "print status")
}

func printSummary(w io.Writer, s operator.Status) {
	n := s.Node
	fprintf(w, "node\t%s in %s: %s\n", n.ID, n.DataCentre,
		words("ready", word(!n.Known, "no configuration"), word(!n.Ready, "not ready"), word(!n.Fresh, "not fresh"), word(n.Draining, "shutting down")))
	fprintf(w, "version\t%d, %s\n", s.Version, acceptance(s))
	fprintf(w, "preset\t%s\n", s.Preset)
	fprintf(w, "requests\t%d open at this node\n", n.OpenRequests)
	fprintf(w, "targets out\t%s\n", orNoneText(strings.Join(s.TargetsOut, " ")))
	stranded := "none"
	if len(s.Stranded) > 0 {
		stranded = strconv.Itoa(len(s.Stranded)) + " hosts: " + strings.Join(s.Stranded, " ")
	}
	fprintf(w, "stranded\t%s\n", stranded)
}

func acceptance(s operator.Status) string {
	if s.Accepted >= s.Version {
		return "in force everywhere"
	}
	var behind []string
	for _, n := range s.Behind(s.Version) {
		behind = append(behind, n.ID)
	}
	return fmt.Sprintf("accepted up to %d, behind: %s", s.Accepted, orNoneText(strings.Join(behind, " ")))
}

func modelName(g operator.GroupStatus) string {
	if g.Version == "" {
		return g.Model
	}
	return g.Model + "@" + g.Version
}

func word(holds bool, text string) string {
	if holds {
		return text
	}
	return ""
}

// words joins those that are not empty, or returns the normal state.
func words(normal string, exceptions ...string) string {
	var list []string
	for _, e := range exceptions {
		if e != "" {
			list = append(list, e)
		}
	}
	if len(list) == 0 {
		return normal
	}
	return strings.Join(list, ", ")
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func orNoneText(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func orNone(n int) string {
	if n == 0 {
		return "none"
	}
	return strconv.Itoa(n)
}
