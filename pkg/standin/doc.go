// Package standin holds small stand-ins of the platform, of model engines and
// of plain services, for tests and the development mode.
package standin
