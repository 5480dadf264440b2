// Package promptcache keeps what a node knows of the prompt prefixes that targets hold: the
// prefixes of prompts whose first event a target has delivered. It has no clock and no I/O.
package promptcache
