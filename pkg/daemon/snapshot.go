package daemon

import "github.com/apricotgrade/apricotgrade/pkg/core/state"

// Snapshot is the configuration in force, for readers outside the loop. It is
// immutable: a new configuration is published as a new snapshot.
type Snapshot struct {
	// Loaded is false until the node has loaded a configuration.
	Loaded   bool
	Version  state.Version
	Document state.Document
}

// Snapshot returns the current configuration without waiting for the loop.
func (d *Daemon) Snapshot() *Snapshot { return d.snapshot.Load() }

// Draining reports whether a graceful shutdown has started.
func (d *Daemon) Draining() bool { return d.draining.Load() }

// publish stores a new snapshot if the step changed the configuration. The core
// replaces a document as a whole and never changes it in place, so that snapshots
// can share it.
func (d *Daemon) publish() {
	t := d.node.Tables()
	if t.Draining {
		d.draining.Store(true)
	}
	old := d.snapshot.Load()
	if old.Loaded == t.Config.Loaded && old.Version == t.Config.Head.Version {
		return
	}
	d.snapshot.Store(&Snapshot{Loaded: t.Config.Loaded, Version: t.Config.Head.Version, Document: t.Config.Document})
}
