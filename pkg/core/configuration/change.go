package configuration

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// configChange is a change of the configuration that an operator requested or that
// this node makes to the registry.
type configChange struct {
	// command is nil for a registry change, which has either registerNode or
	// removeNode set.
	command      *state.OperatorCommand
	registerNode *state.NodeEntry
	removeNode   state.NodeID

	arrivedAt time.Duration
	// opIDs are the operation IDs of all attempts to write this change. A head or an
	// audit row with one of them was written by this change.
	opIDs []state.OpID
	// firstSentAt is the time of the first write.
	firstSentAt time.Duration
	// base is the head from which the proposal was built. While the audit record of a
	// conflicting change is read, it is the head that includes the conflicting change.
	base     state.Head
	proposal *proposal
	// replied is set once a reply was sent to the operator, or deferred until the
	// version is accepted.
	replied bool
}

// proposal holds the rows that a change writes.
type proposal struct {
	head state.Head
	// doc is nil when the change keeps the document.
	doc   *state.Document
	audit state.AuditRecord
}

// buildProposal applies a change to a base and returns the rows to write, or nil when
// the change has no effect.
func (ch *configChange) buildProposal(base state.Head, doc *state.Document) (*proposal, *apierror.Error) {
	p := &proposal{head: base}
	p.head.Version++
	p.head.AddedNode, p.head.RemovedNode, p.head.RemovedByOperator = "", nil, false
	p.audit = state.AuditRecord{Version: p.head.Version}
	var changed bool
	var err *apierror.Error
	switch {
	case ch.command == nil:
		changed = ch.buildRegistryChange(p)
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

func (ch *configChange) buildCommand(p *proposal, doc *state.Document) (bool, *apierror.Error) {
	cmd := ch.command
	switch cmd.Action {
	case state.ActionApply:
		return buildApply(p, cmd, doc)
	case state.ActionPreset:
		return buildPreset(p, cmd, doc)
	case state.ActionDisable, state.ActionEnable:
		return buildDisableOrEnable(p, cmd, doc)
	case state.ActionForget:
	}
	return false, invalidError("unknown_action", "the action is unknown; use apply, preset, out, in or forget")
}

func buildApply(p *proposal, cmd *state.OperatorCommand, doc *state.Document) (bool, *apierror.Error) {
	if cmd.Document == nil {
		return false, invalidError("no_document", "the command has no document; send the declarations with it")
	}
	p.audit.Action = "apply"
	preset, err := presetAfterApply(p.head.Preset, cmd.Document)
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

// presetAfterApply returns the preset in force after a document is applied. Exactly
// one declared preset is in force at any time.
func presetAfterApply(current string, doc *state.Document) (string, *apierror.Error) {
	if current == "" && len(doc.Presets) > 0 {
		return doc.Presets[0].Name, nil
	}
	if current != "" && !declaresPreset(doc, current) {
		return "", invalidError("preset_in_force", fmt.Sprintf(
			"the document does not declare preset %q, which is in force; declare it or change the preset first", current))
	}
	return current, nil
}

func buildPreset(p *proposal, cmd *state.OperatorCommand, doc *state.Document) (bool, *apierror.Error) {
	if !declaresPreset(doc, cmd.Preset) {
		return false, notFoundError("no_preset", fmt.Sprintf("preset %q is not declared; apply a document that declares it", cmd.Preset))
	}
	p.audit.Action, p.audit.Before, p.audit.After = "preset", p.head.Preset, cmd.Preset
	changed := p.head.Preset != cmd.Preset
	p.head.Preset = cmd.Preset
	return changed, nil
}

func buildDisableOrEnable(p *proposal, cmd *state.OperatorCommand, doc *state.Document) (bool, *apierror.Error) {
	disable := cmd.Action == state.ActionDisable
	p.audit.Action = "in"
	if disable {
		p.audit.Action = "out"
	}
	switch {
	case (cmd.DataCentre == "") == (cmd.Target == ""):
		return false, invalidError("no_subject", "name either a data centre or a target")
	case disable && cmd.DataCentre != "" && !declaresDataCentre(doc, cmd.DataCentre):
		return false, notFoundError("no_data_centre", fmt.Sprintf("data centre %q is not declared; check its name", cmd.DataCentre))
	case disable && cmd.Target != "" && !declaresTarget(doc, cmd.Target):
		return false, notFoundError("no_target", fmt.Sprintf("target %q is not declared; name a group or service/replica", cmd.Target))
	}
	p.audit.Before = formatDisabled(p.head)
	var changed bool
	if cmd.DataCentre != "" {
		p.head.DisabledDataCentres, changed = setElement(p.head.DisabledDataCentres, cmd.DataCentre, disable)
	} else {
		p.head.DisabledTargets, changed = setElement(p.head.DisabledTargets, cmd.Target, disable)
	}
	p.audit.After = formatDisabled(p.head)
	return changed, nil
}

// setElement returns a sorted list with the element added or removed, and whether
// the result differs from the given list, which is not modified.
func setElement[T ~string](list []T, element T, present bool) ([]T, bool) {
	i, found := slices.BinarySearch(list, element)
	if found == present {
		return list, false
	}
	if present {
		return slices.Insert(slices.Clone(list), i, element), true
	}
	return slices.Delete(slices.Clone(list), i, i+1), true
}

// formatDisabled describes what a head disables, for the audit record.
func formatDisabled(head state.Head) string {
	var parts []string
	for _, dc := range head.DisabledDataCentres {
		parts = append(parts, "data centre "+string(dc))
	}
	for _, t := range head.DisabledTargets {
		parts = append(parts, "target "+string(t))
	}
	if len(parts) == 0 {
		return "nothing out"
	}
	return "out: " + strings.Join(parts, ", ")
}

func (ch *configChange) buildForget(p *proposal) (bool, *apierror.Error) {
	id := ch.command.Node
	entry := findNode(p.head.Nodes, id)
	if entry == nil {
		return false, notFoundError("no_node", fmt.Sprintf("node %q is not registered; see status for the registered nodes", id))
	}
	p.audit.Action, p.audit.Before, p.audit.After = "forget", "node "+string(id), ""
	p.removeNode(*entry)
	p.head.RemovedByOperator = true
	return true, nil
}

func (ch *configChange) buildRegistryChange(p *proposal) bool {
	if ch.registerNode != nil {
		p.audit.Operator, p.audit.Action = "node/"+string(ch.registerNode.ID), "register"
		return p.addNode(*ch.registerNode)
	}
	entry := findNode(p.head.Nodes, ch.removeNode)
	if entry == nil {
		return false
	}
	p.audit.Operator, p.audit.Action, p.audit.Before = "nodes", "remove", "node "+string(ch.removeNode)
	p.removeNode(*entry)
	return true
}

func (p *proposal) addNode(entry state.NodeEntry) bool {
	p.audit.After = "node " + string(entry.ID) + " at " + entry.Address
	existing := findNode(p.head.Nodes, entry.ID)
	if existing == nil {
		p.head.AddedNode = entry.ID
	} else if *existing == entry {
		return false
	}
	p.head.Nodes = putNode(p.head.Nodes, entry)
	return true
}

func (p *proposal) removeNode(entry state.NodeEntry) {
	p.head.RemovedNode = &entry
	p.head.Nodes = slices.DeleteFunc(slices.Clone(p.head.Nodes), func(e state.NodeEntry) bool { return e.ID == entry.ID })
}

// putNode returns a copy of a sorted registry with an entry added or replaced.
func putNode(nodes []state.NodeEntry, entry state.NodeEntry) []state.NodeEntry {
	nodes = slices.Clone(nodes)
	i, found := searchNode(nodes, entry.ID)
	if found {
		nodes[i] = entry
		return nodes
	}
	return slices.Insert(nodes, i, entry)
}

// findNode returns a node's entry in a sorted registry, or nil.
func findNode(nodes []state.NodeEntry, id state.NodeID) *state.NodeEntry {
	if i, found := searchNode(nodes, id); found {
		return &nodes[i]
	}
	return nil
}

func searchNode(nodes []state.NodeEntry, id state.NodeID) (int, bool) {
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

func invalidError(code, message string) *apierror.Error {
	return apierror.New(apierror.KindInvalid, code, message, apierror.NotRun)
}

func notFoundError(code, message string) *apierror.Error {
	return apierror.New(apierror.KindNotFound, code, message, apierror.NotRun)
}
