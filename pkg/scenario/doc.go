// Package scenario runs several decision cores in one process in virtual time,
// with small fakes of the platform, the engines, the services, the network and
// the callers. Faults are injected at the interfaces of the core. Checks record
// violations of the invariants that the design page states.
package scenario
