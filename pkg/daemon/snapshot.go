package daemon

import "github.com/apricotgrade/apricotgrade/pkg/core/state"

// Snapshot is the configuration in force, for readers outside of the loop. It
// never changes; a new configuration comes as a new snapshot.
type Snapshot struct {
	// Known is false until the node has a configuration.
	Known    bool
	Version  state.Version
	Document state.Document
}

// Snapshot returns the present configuration without waiting for the loop.
func (d *Daemon) Snapshot() *Snapshot { return d.snapshot.Load() }

// Draining reports whether a graceful shutdown has begun.
func (d *Daemon) Draining() bool { return d.draining.Load() }

// publish makes a snapshot when the step changed the configuration. The core
// replaces a document as a whole and never changes it in place.
func (d *Daemon) publish() {
	t := d.node.Tables()
	if t.Draining {
		d.draining.Store(true)
	}
	old := d.snapshot.Load()
	if old.Known == t.Config.Loaded && old.Version == t.Config.Head.Version {
		return
	}
	d.snapshot.Store(&Snapshot{Known: t.Config.Loaded, Version: t.Config.Head.Version, Document: t.Config.Document})
}
