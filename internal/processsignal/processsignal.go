// Package processsignal receives the signals that stop or reload a daemon from the first
// moment of its process on.
//
// go-zero catches SIGTERM in the initialisation of a package, and a signal that arrives
// between that and a later registration would be lost. Packages are initialised in the
// order of their import paths as far as their imports allow, and this one imports only
// the standard library, so its registration comes first. Only daemons import it, because
// their process no longer ends by itself at these signals.
package processsignal

import (
	"os"
	"os/signal"
	"syscall"
)

var (
	stop   = make(chan os.Signal, 1)
	reload = make(chan os.Signal, 1)
)

func init() {
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reload, syscall.SIGHUP)
}

// Stop returns the channel of the signals SIGTERM and SIGINT.
func Stop() <-chan os.Signal { return stop }

// Reload returns the channel of the signal SIGHUP.
func Reload() <-chan os.Signal { return reload }
