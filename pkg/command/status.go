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

// printStatus prints a status as a summary and tables.
func printStatus(out io.Writer, s operator.Status) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printSummary(w, s)
	fprintln(w, "\nNODE\tDATA CENTRE\tADDRESS\tVERSION\tSTATE")
	for _, n := range s.Nodes {
		fprintf(w, "%s\t%s\t%s\t%d\t%s\n", n.ID, n.DataCentre, n.Address, n.Version,
			stateText("up", textIf(!n.Linked, "no link"), textIf(n.Leaving, "leaving"), textIf(n.Version < s.Version, "behind")))
	}
	fprintln(w, "\nDATA CENTRE\tREGION\tHOSTS\tSTATE")
	for _, d := range s.DataCentres {
		fprintf(w, "%s\t%s\t%d\t%s\n", d.Name, textOrDash(d.Region), d.Hosts, stateText("in", textIf(d.Disabled, "out")))
	}
	fprintln(w, "\nGROUP\tMODEL\tDATA CENTRE\tDOMAIN\tPHASE\tSTATE\tMEMBERS")
	for _, g := range s.Groups {
		state := stateText("whole", textIf(!g.Healthy, "not whole"), textIf(g.Straggler, "straggler"), textIf(g.Disabled, "idle"),
			textIf(len(g.DeadMembers) > 0, "dead: "+strings.Join(g.DeadMembers, " ")))
		fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", g.Name, modelWithVersion(g), g.DataCentre, textOrDash(g.Domain), g.Phase, state,
			textOrDash(strings.Join(g.Members, " ")))
	}
	fprintln(w, "\nTARGET\tDATA CENTRE\tLIMIT\tSHARE\tIN FLIGHT\tPEERS\tSTATE")
	for _, t := range s.Targets {
		fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%s\n", t.ID, t.DataCentre, t.Limit, t.Share, t.InFlight, t.PeersInFlight,
			stateText("warm", textIf(t.Cold, "cold"), textIf(t.Suspect, "suspect"), textIf(t.Disabled, "out")))
	}
	fprintln(w, "\nACCOUNT\tWEIGHT\tCONCURRENCY\tIN FLIGHT\tPEERS\tQUEUED")
	for _, a := range s.Accounts {
		fprintf(w, "%s\t%d\t%s\t%d\t%d\t%d\n", a.Name, a.Weight, limitOrNone(a.Concurrency), a.InFlight, a.PeersInFlight, a.Queued)
	}
	if len(s.Leases) > 0 {
		fprintln(w, "\nLEASE\tHOLDER\tFENCE")
	}
	for _, l := range s.Leases {
		fprintf(w, "%s\t%s\t%d\n", l.DataCentre, l.Holder, l.FencingToken)
	}
	return errors.Wrap(w.Flush(), "print status")
}

func printSummary(w io.Writer, s operator.Status) {
	n := s.Node
	fprintf(w, "node\t%s in %s: %s\n", n.ID, n.DataCentre,
		stateText("ready", textIf(!n.ConfigLoaded, "no configuration"), textIf(!n.Ready, "not ready"), textIf(!n.Fresh, "not fresh"), textIf(n.Draining, "shutting down")))
	fprintf(w, "version\t%d, %s\n", s.Version, acceptanceText(s))
	fprintf(w, "preset\t%s\n", s.Preset)
	fprintf(w, "requests\t%d open at this node\n", n.OpenRequests)
	fprintf(w, "targets out\t%s\n", textOrNone(strings.Join(s.DisabledTargets, " ")))
	stranded := "none"
	if len(s.Stranded) > 0 {
		stranded = strconv.Itoa(len(s.Stranded)) + " hosts: " + strings.Join(s.Stranded, " ")
	}
	fprintf(w, "stranded\t%s\n", stranded)
}

// acceptanceText describes whether the version is in force everywhere and which nodes
// have not reported it.
func acceptanceText(s operator.Status) string {
	if s.Accepted >= s.Version {
		return "in force everywhere"
	}
	var lagging []string
	for _, n := range s.NodesBehind(s.Version) {
		lagging = append(lagging, n.ID)
	}
	return fmt.Sprintf("accepted up to %d, behind: %s", s.Accepted, textOrNone(strings.Join(lagging, " ")))
}

func modelWithVersion(g operator.GroupStatus) string {
	if g.Version == "" {
		return g.Model
	}
	return g.Model + "@" + g.Version
}

// textIf returns text when the condition holds, or "".
func textIf(condition bool, text string) string {
	if condition {
		return text
	}
	return ""
}

// stateText joins the exceptions that are not empty, or returns normal when all are.
func stateText(normal string, exceptions ...string) string {
	var present []string
	for _, e := range exceptions {
		if e != "" {
			present = append(present, e)
		}
	}
	if len(present) == 0 {
		return normal
	}
	return strings.Join(present, ", ")
}

func textOrDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func textOrNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func limitOrNone(n int) string {
	if n == 0 {
		return "none"
	}
	return strconv.Itoa(n)
}
