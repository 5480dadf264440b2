package dev

import (
	"fmt"
	"io"
)

// Print writes the addresses, the keys and the commands to try.
func (s *System) Print(w io.Writer) {
	first, second := s.Nodes[0], s.Nodes[1]
	_, _ = fmt.Fprintf(w, `apricotgrade development mode: two entry nodes, four replica groups in two data centres, an order service

callers      http://%s   key %s
operators    http://%s   key %s
second node  http://%s   operators http://%s

Try:

%s

`, first.CallerAddress(), CallerKey, first.AdminAddress(), OperatorKey,
		second.CallerAddress(), second.AdminAddress(), s.indentedCommands())
}

// Commands returns three commands to try, one line each: a streamed completion, an
// order and the operator status.
func (s *System) Commands() []string {
	callerAddress, adminAddress := s.Nodes[0].CallerAddress(), s.Nodes[0].AdminAddress()
	return []string{
		fmt.Sprintf(`curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{"model":"draft","stream":true,"messages":[{"role":"user","content":"Header copy for gondola ends"}]}'`, callerAddress, CallerKey),
		fmt.Sprintf(`curl -s http://%s/services/orders/orders -H 'Authorization: Bearer %s' -H 'Idempotency-Key: order-1' -H 'Content-Type: application/json' -d '{"item":"gondola end header","count":2}'`, callerAddress, CallerKey),
		fmt.Sprintf(`curl -s http://%s/operator/status -H 'Authorization: Bearer %s'`, adminAddress, OperatorKey),
	}
}

func (s *System) indentedCommands() string {
	text := ""
	for i, c := range s.Commands() {
		if i > 0 {
			text += "\n\n"
		}
		text += "  " + c
	}
	return text
}
