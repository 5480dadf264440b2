// Package quarantine finds parts of prompts that end each target that begins to answer
// a request with them, and keeps such requests from the targets.
//
// Load pattern: one part ends each replica group that begins to answer on it, with all
// its streams. Five requests a second with this part arrive at all nodes, no two alike,
// from a client account and with other parts that sound requests have too. Each of them
// ends one group, and its retry a second one. A group comes back after some seconds, so
// that soon none is left, although less than a tenth of the requests have the part.
//
// The evidence is kept by part. A crash is an attempt whose answer had begun and whose
// connection was lost before the first event. An engine begins one answer after the
// other, so that of all streams of a group that ends this is the state of few. A start
// is the first event of any request with the part: it clears the part's crashes. Sound
// parts start all the time, the part at fault never does. A part is put into quarantine
// after crashes of three processes without a start. Of the plainer rules, quarantine at
// the first crash takes in the sound parts of each request that was lost at that moment,
// and a quarantine of the first part or of the client account all requests that share
// it with the part at fault.
package quarantine
