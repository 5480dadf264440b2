// Package quarantine finds what requests have in common that end each target which begins
// to run them, and keeps such requests from the targets.
//
// Load pattern: one part of prompts ends each replica group that begins to answer on it,
// with all its streams. Five requests a second with this part arrive at all nodes, no two
// alike, from a client account and with other parts that sound requests have too. Each of
// them ends one group, and its retry a second one. A group comes back after some seconds,
// so that soon none is left, although less than a tenth of the requests have the part. Or
// one request, which its caller repeats at any node, ends each replica of a plain service
// that runs it, with all requests there.
//
// The evidence is kept by trait: a part of prompts, or the whole request, by which its
// repetitions are recognised. A crash is an attempt whose connection was lost at the moment
// at which the request may have ended the target; the type moment lists them. Of a stream that
// is from the head of its answer until shortly after the first event. An engine begins one
// answer after the other, so that of all streams of a group that ends this is the state of few.
// Other answers have no head before they are complete, so that each request that the target
// held may be at fault. A start is an answer of any request with the trait that goes on after
// its beginning, or is complete: it clears the trait's crashes. Sound traits start all the time,
// the one at fault never does. A trait is put into quarantine after crashes of three processes
// without a start. From some minutes after its last crash the nodes take turns to try one
// request with it, so that a trait that was put there wrongly, or whose targets have been
// mended, is released while its requests go on arriving. Of the plainer rules, quarantine at the
// first crash takes in the sound traits of each request that was lost at that moment, and a
// quarantine of the first part or of the client account all requests that share it with the part
// at fault.
package quarantine
