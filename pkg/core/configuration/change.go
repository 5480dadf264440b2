package configuration

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// change is a change that this node is asked for or wants itself.
type change struct {
	// command is nil for a change of the registry.
	command *state.OperatorCommand
	join    *state.NodeEntry
	leave   state.NodeID

	arrived time.Duration
	// ops are the operation ids of all writes tried for this change. A head or
	// an audit row with one of them is this change.
	ops []state.OpID
	// sentAt is the time of the first write.
	sentAt   time.Duration
	base     state.Head
	proposal *proposal
	// answered is set once the operator has a reply.
	answered bool
}

// proposal is what a change writes.
type proposal struct {
	head state.Head
	// doc is nil when the document stays.
	doc   *state.Document
	audit state.AuditRecord
}

// build returns what a change makes of a base, or nil when nothing changes.
func (ch *change) build(base state.Head, doc *state.Document) (*proposal, *apierror.Error) {
	p := &proposal{head: base}
	p.head.Version++
	p.head.AddedNode, p.head.RemovedNode, p.head.RemovedByOperator = "", nil, false
	p.audit = state.AuditRecord{Version: p.head.Version}
	var changed bool
	var err *apierror.Error
	switch {
	case ch.command == nil:
		changed = ch.buildRegistry(p)
	case ch.command.Action == state.ActionForget:
		changed, err = ch.buildForget(p)
	default:
		changed, err = ch.buildCommand(p, doc)
		p.head.OperatorVersion = p.head.Version
	}
	if err != nil || !changed {
		return nil, err
	}
	if ch.command != nil {
		p.audit.Operator, p.audit.AtUnixMilli = ch.command.Operator, ch.command.AtUnixMilli
	}
	if base.Version == 0 && p.doc == nil {
		p.doc = &state.Document{}
	}
	if p.doc != nil {
		p.head.DocumentVersion = p.head.Version
	}
	return p, nil
}

func (ch *change) buildCommand(p *proposal, doc *state.Document) (bool, *apierror.Error) {
	cmd := ch.command
	switch cmd.Action {
	case state.ActionApply:
		return buildApply(p, cmd, doc)
	case state.ActionPreset:
		return buildPreset(p, cmd, doc)
	case state.ActionDisable, state.ActionEnable:
		return buildOut(p, cmd, doc)
	case state.ActionForget:
	}
	return false, invalid("unknown_action", "the action is unknown; use apply, preset, out, in or forget")
}

func buildApply(p *proposal, cmd *state.OperatorCommand, doc *state.Document) (bool, *apierror.Error) {
	if cmd.Document == nil {
		return false, invalid("no_document", "the command has no document; send the declarations with it")
	}
	p.audit.Action = "apply"
	preset, err := presetAfter(p.head.Preset, cmd.Document)
	if err != nil {
		return false, err
	}
	after := diffDocuments(doc, cmd.Document)
	if after == "" && preset == p.head.Preset && p.head.DocumentVersion > 0 {
		return false, nil
	}
	p.audit.Before = fmt.Sprintf("document %d", p.head.DocumentVersion)
	p.audit.After = fmt.Sprintf("document %d: %s", p.head.Version, after)
	p.head.Preset, p.doc = preset, cmd.Document
	return true, nil
}

// presetAfter returns the preset in force after a document is applied. Exactly
// one declared preset is in force at any time.
func presetAfter(present string, doc *state.Document) (string, *apierror.Error) {
	if present == "" && len(doc.Presets) > 0 {
		return doc.Presets[0].Name, nil
	}
	if present != "" && !declaresPreset(doc, present) {
		return "", invalid("preset_in_force", fmt.Sprintf(
			"the document does not declare preset %q, which is in force; declare it or change the preset first", present))
	}
	return present, nil
}

func buildPreset(p *proposal, cmd *state.OperatorCommand, doc *state.Document) (bool, *apierror.Error) {
	if !declaresPreset(doc, cmd.Preset) {
		return false, notFound("no_preset", fmt.Sprintf("preset %q is not declared; apply a document that declares it", cmd.Preset))
	}
	p.audit.Action, p.audit.Before, p.audit.After = "preset", p.head.Preset, cmd.Preset
	changed := p.head.Preset != cmd.Preset
	p.head.Preset = cmd.Preset
	return changed, nil
}

func buildOut(p *proposal, cmd *state.OperatorCommand, doc *state.Document) (bool, *apierror.Error) {
	out := cmd.Action == state.ActionDisable
	p.audit.Action = "in"
	if out {
		p.audit.Action = "out"
	}
	switch {
	case (cmd.DataCentre == "") == (cmd.Target == ""):
		return false, invalid("no_subject", "name either a data centre or a target")
	case out && cmd.DataCentre != "" && !declaresDataCentre(doc, cmd.DataCentre):
		return false, notFound("no_data_centre", fmt.Sprintf("data centre %q is not declared; check its name", cmd.DataCentre))
	case out && cmd.Target != "" && !declaresTarget(doc, cmd.Target):
		return false, notFound("no_target", fmt.Sprintf("target %q is not declared; name a group or service/replica", cmd.Target))
	}
	p.audit.Before = outText(p.head)
	var changed bool
	if cmd.DataCentre != "" {
		p.head.DisabledDataCentres, changed = toggle(p.head.DisabledDataCentres, cmd.DataCentre, out)
	} else {
		p.head.DisabledTargets, changed = toggle(p.head.DisabledTargets, cmd.Target, out)
	}
	p.audit.After = outText(p.head)
	return changed, nil
}

// toggle returns a sorted list with or without an element, and whether that
// differs from the list given, which is left as it is.
func toggle[T ~string](list []T, v T, in bool) ([]T, bool) {
	i, found := slices.BinarySearch(list, v)
	if found == in {
		return list, false
	}
	if in {
		return slices.Insert(slices.Clone(list), i, v), true
	}
	return slices.Delete(slices.Clone(list), i, i+1), true
}

func outText(h state.Head) string {
	var parts []string
	for _, dc := range h.DisabledDataCentres {
		parts = append(parts, "data centre "+string(dc))
	}
	for _, t := range h.DisabledTargets {
		parts = append(parts, "target "+string(t))
	}
	if len(parts) == 0 {
		return "nothing out"
	}
	return "out: " + strings.Join(parts, ", ")
}

func (ch *change) buildForget(p *proposal) (bool, *apierror.Error) {
	id := ch.command.Node
	entry := find(p.head.Nodes, id)
	if entry == nil {
		return false, notFound("no_node", fmt.Sprintf("node %q is not registered; see status for the registered nodes", id))
	}
	p.audit.Action, p.audit.Before, p.audit.After = "forget", "node "+string(id), ""
	p.remove(*entry)
	p.head.RemovedByOperator = true
	return true, nil
}

func (ch *change) buildRegistry(p *proposal) bool {
	if ch.join != nil {
		p.audit.Operator, p.audit.Action = "node/"+string(ch.join.ID), "register"
		return p.add(*ch.join)
	}
	entry := find(p.head.Nodes, ch.leave)
	if entry == nil {
		return false
	}
	p.audit.Operator, p.audit.Action, p.audit.Before = "nodes", "remove", "node "+string(ch.leave)
	p.remove(*entry)
	return true
}

func (p *proposal) add(n state.NodeEntry) bool {
	p.audit.After = "node " + string(n.ID) + " at " + n.Address
	old := find(p.head.Nodes, n.ID)
	if old == nil {
		p.head.AddedNode = n.ID
	} else if *old == n {
		return false
	}
	p.head.Nodes = insert(p.head.Nodes, n)
	return true
}

func (p *proposal) remove(n state.NodeEntry) {
	p.head.RemovedNode = &n
	p.head.Nodes = slices.DeleteFunc(slices.Clone(p.head.Nodes), func(e state.NodeEntry) bool { return e.ID == n.ID })
}

// insert returns a sorted registry with an entry added or replaced.
func insert(nodes []state.NodeEntry, n state.NodeEntry) []state.NodeEntry {
	nodes = slices.Clone(nodes)
	i, found := search(nodes, n.ID)
	if found {
		nodes[i] = n
		return nodes
	}
	return slices.Insert(nodes, i, n)
}

func find(nodes []state.NodeEntry, id state.NodeID) *state.NodeEntry {
	if i, found := search(nodes, id); found {
		return &nodes[i]
	}
	return nil
}

func search(nodes []state.NodeEntry, id state.NodeID) (int, bool) {
	return slices.BinarySearchFunc(nodes, id, func(e state.NodeEntry, id state.NodeID) int {
		return strings.Compare(string(e.ID), string(id))
	})
}

func declaresPreset(doc *state.Document, name string) bool {
	return slices.ContainsFunc(doc.Presets, func(p state.PresetSpec) bool { return p.Name == name })
}

func declaresDataCentre(doc *state.Document, dc state.DataCentre) bool {
	return slices.ContainsFunc(doc.DataCentres, func(d state.DataCentreSpec) bool { return d.Name == dc })
}

func declaresTarget(doc *state.Document, id state.TargetID) bool {
	if slices.ContainsFunc(doc.Groups, func(g state.GroupSpec) bool { return state.TargetID(g.Name) == id }) {
		return true
	}
	for _, svc := range doc.Services {
		for _, r := range svc.Replicas {
			if state.TargetID(svc.Name+"/"+r.Name) == id {
				return true
			}
		}
	}
	return false
}

func invalid(code, message string) *apierror.Error {
	return apierror.New(apierror.KindInvalid, code, message, apierror.NotRun)
}

func notFound(code, message string) *apierror.Error {
	return apierror.New(apierror.KindNotFound, code, message, apierror.NotRun)
}
