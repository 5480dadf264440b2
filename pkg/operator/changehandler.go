package operator

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/declaration"
)

// decodeDeclarations decodes a change and parses its declarations.
func decodeDeclarations(r *http.Request) (ChangeRequest, state.Document, error) {
	change, err := decodeChange(r)
	if err != nil {
		return change, state.Document{}, err
	}
	doc, err := declaration.Parse("declarations", []byte(change.Declarations))
	return change, doc, err
}

func (s *Server) apply(r *http.Request, operator string) (any, error) {
	change, doc, err := decodeDeclarations(r)
	if err != nil {
		return nil, err
	}
	if err := s.checkPresetDeclared(doc); err != nil {
		return nil, err
	}
	return s.submitCommand(r.Context(), operator, change, state.OperatorCommand{Action: state.ActionApply, Document: &doc})
}

// checkPresetDeclared returns an error when the document does not declare the
// preset in force.
func (s *Server) checkPresetDeclared(doc state.Document) error {
	var preset string
	s.daemon.View(func(t *state.Tables) { preset = t.Config.Head.Preset })
	if preset != "" && !hasPreset(doc, preset) {
		return invalidValueError("declarations", "preset "+preset+" is in force but not declared; declare it, or put another preset in force first")
	}
	return nil
}

func (s *Server) preset(r *http.Request, operator string) (any, error) {
	change, err := decodeChange(r)
	if err != nil {
		return nil, err
	}
	_, doc, err := s.currentDocument()
	if err != nil {
		return nil, err
	}
	if !hasPreset(doc, change.Preset) {
		return nil, unknownNameError("preset", change.Preset, presetNames(doc))
	}
	return s.submitCommand(r.Context(), operator, change, state.OperatorCommand{Action: state.ActionPreset, Preset: change.Preset})
}

func (s *Server) disable(r *http.Request, operator string) (any, error) {
	return s.setAvailability(r, operator, state.ActionDisable)
}

func (s *Server) enable(r *http.Request, operator string) (any, error) {
	return s.setAvailability(r, operator, state.ActionEnable)
}

// setAvailability disables or enables a data centre or a target. A target that is no
// longer declared can still be enabled, so that its entry can be removed.
func (s *Server) setAvailability(r *http.Request, operator string, action state.OperatorAction) (any, error) {
	change, err := decodeChange(r)
	if err != nil {
		return nil, err
	}
	_, doc, err := s.currentDocument()
	if err != nil {
		return nil, err
	}
	switch {
	case (change.DataCentre == "") == (change.Target == ""):
		return nil, invalidValueError("data_centre", "name either a data centre or a target")
	case change.DataCentre != "" && !containsName(doc.DataCentres, func(d state.DataCentreSpec) string { return string(d.Name) }, change.DataCentre):
		return nil, unknownNameError("data_centre", change.DataCentre, dataCentreNames(doc))
	case change.Target != "" && action == state.ActionDisable && !slices.Contains(targetNames(doc), change.Target):
		return nil, unknownNameError("target", change.Target, targetNames(doc))
	}
	return s.submitCommand(r.Context(), operator, change, state.OperatorCommand{
		Action: action, DataCentre: state.DataCentre(change.DataCentre), Target: state.TargetID(change.Target),
	})
}

func (s *Server) forget(r *http.Request, operator string) (any, error) {
	change, err := decodeChange(r)
	if err != nil {
		return nil, err
	}
	if _, _, err := s.currentDocument(); err != nil {
		return nil, err
	}
	var registeredNodes []string
	var self string
	s.daemon.View(func(t *state.Tables) {
		self = string(t.Self.ID)
		for _, n := range t.Config.Head.Nodes {
			registeredNodes = append(registeredNodes, string(n.ID))
		}
	})
	switch {
	case !slices.Contains(registeredNodes, change.Node):
		return nil, unknownNameError("node", change.Node, registeredNodes)
	case change.Node == self:
		return nil, invalidValueError("node", "node "+self+" is running and answers this request; stop it with SIGTERM instead of forgetting it")
	}
	return s.submitCommand(r.Context(), operator, change, state.OperatorCommand{Action: state.ActionForget, Node: state.NodeID(change.Node)})
}

// submitCommand sends the command to the decision core and waits for its result. A
// caller that disconnects does not cancel the command.
func (s *Server) submitCommand(ctx context.Context, operator string, change ChangeRequest, command state.OperatorCommand) (any, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), changeTimeout)
	defer cancel()
	command.Operator, command.BaseVersion, command.AtUnixMilli = operator, state.Version(change.BaseVersion), time.Now().UnixMilli()
	reply, err := s.daemon.Operate(ctx, command)
	if err != nil {
		return nil, apierror.New(apierror.KindUnknown, "change_outcome_unknown",
			"the change was not decided in time and may still take effect; check the status and the audit trail before repeating it", apierror.Unknown)
	}
	if reply.Error != nil {
		return nil, reply.Error
	}
	return ChangeReply{Version: uint64(reply.Version), Accepted: reply.Accepted, UnconfirmedNodes: toStrings(reply.UnconfirmedNodes)}, nil
}

// unknownNameError returns an error that lists the known names.
func unknownNameError(param, value string, known []string) *apierror.Error {
	choices := strings.Join(known, ", ")
	if choices == "" {
		choices = "(no names are known)"
	}
	e := apierror.New(apierror.KindNotFound, "unknown_"+param, param+" \""+value+"\" is not known; name one of "+choices, apierror.NotRun)
	e.Param = param
	return e
}

func hasPreset(doc state.Document, name string) bool {
	return containsName(doc.Presets, func(p state.PresetSpec) string { return p.Name }, name)
}

func presetNames(doc state.Document) []string {
	var names []string
	for _, p := range doc.Presets {
		names = append(names, p.Name)
	}
	return names
}

func dataCentreNames(doc state.Document) []string {
	var names []string
	for _, d := range doc.DataCentres {
		names = append(names, string(d.Name))
	}
	return names
}

// targetNames returns the names of all declared targets: replica groups, and
// replicas of plain services.
func targetNames(doc state.Document) []string {
	var names []string
	for _, g := range doc.Groups {
		names = append(names, string(g.Name))
	}
	for _, svc := range doc.Services {
		for _, r := range svc.Replicas {
			names = append(names, svc.Name+"/"+r.Name)
		}
	}
	return names
}
