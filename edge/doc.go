// Package edge implements the daemon that runs on the users' platform. It accepts callers' HTTP
// requests, sends them to leafs, and returns the answers. Package scatter makes the
// decisions. The manifest and the leafs in force are kept by packages routing and registry,
// which are filled from the store of package platform.
//
// Engine.mu guards all state on which decisions about requests are based. It is never held
// during I/O.
package edge
