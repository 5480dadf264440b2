// Package standin provides small stand-ins of the platform, of model engines and
// of an order service, for tests and the development mode.
package standin
