package quarantine

import "slices"

// unexplainedEnds returns the number of leafs that ended, or may turn out to have ended, and for which
// no other content is known as the cause.
func (g *Guard) unexplainedEnds(e *entry) int {
	n := e.possibleEnds()
	if e.ends > len(e.ended) {
		return n // some have no name
	}
	for _, leaf := range e.ended {
		if g.explained(e, leaf) {
			n--
		}
	}
	return n
}

// explained reports whether a leaf that ended under e also ended under a quarantined content that is rather
// the cause: it has ended others too, or was not served before while e was. Requests that were at work on
// the leaf at that moment ended with it.
func (g *Guard) explained(e *entry, leaf string) bool {
	return slices.ContainsFunc(g.causes[leaf], func(cause *entry) bool {
		return cause != e && cause.quarantines > 0 && (e.served && !cause.served || !isSubset(cause.lostLeafs(), e.lostLeafs()))
	})
}

// unexplained returns the leafs that ended under e, as far as they have a name, and for which no other content
// is known as the cause.
func (g *Guard) unexplained(e *entry) []string {
	return slices.DeleteFunc(slices.Clone(e.ended), func(leaf string) bool { return g.explained(e, leaf) })
}

// addCauses adds a quarantined content to the causes of the ends of its leafs.
func (g *Guard) addCauses(e *entry) {
	for _, leaf := range e.lostLeafs() {
		list := slices.DeleteFunc(g.causes[leaf], func(cause *entry) bool { return cause.quarantines == 0 })
		if len(list) < maxCauses && !slices.Contains(list, e) {
			list = append(list, e)
		}
		g.causes[leaf] = list
	}
}

// removeCauses is the inverse of addCauses, for a content that is forgotten or cleared.
func (g *Guard) removeCauses(e *entry) {
	for _, leaf := range e.lostLeafs() {
		list := slices.DeleteFunc(g.causes[leaf], func(cause *entry) bool { return cause == e })
		if g.causes[leaf] = list; len(list) == 0 {
			delete(g.causes, leaf)
		}
	}
}

// forget removes a content.
func (g *Guard) forget(f Fingerprint) {
	if e := g.entries[f]; e != nil {
		g.removeCauses(e)
		delete(g.entries, f)
	}
}

// lostLeafs returns the leafs that ended or are silent under the content, as far as they have a name.
func (e *entry) lostLeafs() []string {
	if len(e.silent) == 0 {
		return e.ended
	}
	list := slices.Clone(e.ended)
	for _, s := range e.silent {
		list = append(list, s.Leaf)
	}
	return list
}

// isSubset reports whether all of a are in b.
func isSubset(a, b []string) bool {
	return !slices.ContainsFunc(a, func(name string) bool { return !slices.Contains(b, name) })
}
