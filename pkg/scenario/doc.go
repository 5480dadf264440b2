// Package scenario drives several decision cores in one process in virtual
// time, with small fakes of the platform, the engines, the services, the
// network and the callers. Faults are injected at the interfaces of the core.
// Checks compare what happens with the invariants of the design page.
package scenario
