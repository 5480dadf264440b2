package gateway

// RoutedMeter counts the connections that a RoutedGateway closes without a complete
// answer while the caller may still wait, and refusals that the core does not know of. Its methods are called concurrently.
type RoutedMeter interface {
	// AnswerAborted is called for an answer that had begun and ends with a refusal of
	// this code. Codes are constants of the program.
	AnswerAborted(code string)
	// BodyUnread is called for a request whose body could not be read.
	BodyUnread()
	// BodyRefused is called for a request that is refused with this code before its body
	// was read.
	BodyRefused(code string)
	// RequestAbandoned is called for a request whose caller has left, with the stage at
	// which this was noticed.
	RequestAbandoned(stage string)
}

// Stages of a request at which it is noticed that its caller has left: before the core has
// received it, before an attempt is sent, and at any time after the core has received it.
const (
	abandonedUnsubmitted = "unsubmitted"
	abandonedUnsent      = "unsent"
	abandonedSubmitted   = "submitted"
)

type noopMeter struct{}

func (noopMeter) AnswerAborted(string)    {}
func (noopMeter) BodyUnread()             {}
func (noopMeter) BodyRefused(string)      {}
func (noopMeter) RequestAbandoned(string) {}

// SetMeter sets the meter. It must be called before the first request.
func (g *RoutedGateway) SetMeter(m RoutedMeter) { g.meter = m }
