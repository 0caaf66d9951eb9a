// Package node assembles a whole daemon from the other packages: the revision in
// force, the targets, the query engine, the claims, the exchange between VMs and
// the listeners. cmd/bramleyd is a thin main around it. Other programs can embed it
// in the same way.
package node
