package daemon

import "github.com/apricotgrade/apricotgrade/pkg/core/state"

// Snapshot is the configuration in force, for readers outside the loop. It is
// immutable: a new configuration is published as a new snapshot.
type Snapshot struct {
	// Loaded is false until the node has loaded a configuration.
	Loaded   bool
	Version  state.Version
	Document state.Document
	// CallerLimits are those of the platform's configuration on a managed node.
	CallerLimits state.CallerLimits
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
	next := Snapshot{Loaded: t.Config.Loaded, Version: t.Config.Head.Version}
	if t.Managed != nil && t.Managed.PlatformConfig != nil {
		next.CallerLimits = t.Managed.PlatformConfig.Limits
	}
	old := d.snapshot.Load()
	if old.Loaded == next.Loaded && old.Version == next.Version && old.CallerLimits == next.CallerLimits {
		return
	}
	next.Document = t.Config.Document
	d.snapshot.Store(&next)
}
