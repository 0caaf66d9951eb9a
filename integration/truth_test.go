package integration

import (
	"fmt"
	"slices"

	"github.com/bramleybarrow/bramleybarrow/gateway"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/targetsim"
	"github.com/bramleybarrow/bramleybarrow/policy"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// truth holds the indexes that the simulated targets may hold in a test, by snapshot name.
type truth map[string]targetsim.Index

// truthOf returns the truth for a test in which targets hold only these indexes.
func truthOf(indexes ...targetsim.Index) truth {
	t := truth{}
	for _, index := range indexes {
		t[index.Snapshot] = index
	}
	return t
}

// check compares an answer to a search for body, which must have Explain set, with what
// the simulated targets hold. The answer must be from one snapshot only, its coverage
// must agree with the shards and records of that snapshot, and its items must be the
// matching records of the shards that answered.
func (t truth) check(a gateway.Answer, body gateway.SearchBody) error {
	if a.Code != int(result.Complete) && a.Code != int(result.Partial) {
		if len(a.Items) > 0 {
			return fmt.Errorf("code %d (%s) with items", a.Code, a.Name)
		}
		return nil
	}
	index, ok := t[a.Snapshot]
	if !ok {
		return fmt.Errorf("unknown snapshot %q", a.Snapshot)
	}
	if err := t.checkCoverage(a, index); err != nil {
		return err
	}
	return t.checkItems(a, index, body)
}

// checkCoverage expects that the answer's coverage agrees with its code, that each shard
// of the index is an answered one or a gap, and that all records count as read or missing.
// Records of shards of unknown size may be left out.
func (t truth) checkCoverage(a gateway.Answer, index targetsim.Index) error {
	c := a.Coverage
	if c.Shards != index.Shards || c.ShardsAnswered+len(c.Gaps) != index.Shards {
		return fmt.Errorf("coverage %+v does not match %d shards", *c, index.Shards)
	}
	if (a.Code == int(result.Complete)) != (c.ShardsAnswered == index.Shards) {
		return fmt.Errorf("%s with %d of %d shards", a.Name, c.ShardsAnswered, index.Shards)
	}
	_, _, all := index.ExpectedAnswer(target.KindBrowse, "", "", 0)
	if c.UnknownShards == 0 && c.Records+c.Missing != all {
		return fmt.Errorf("%d read and %d missing of %d records", c.Records, c.Missing, all)
	}
	if c.Records+c.Missing > all {
		return fmt.Errorf("%d read and %d missing are more than the %d records", c.Records, c.Missing, all)
	}
	return nil
}

// checkItems expects all matches of the shards that answered in full, none of the shards
// that did not answer, and any of the matches of the incomplete shards, up to the limit
// of body.
func (t truth) checkItems(a gateway.Answer, index targetsim.Index, body gateway.SearchBody) error {
	lost := map[int]bool{}
	partial := map[int]bool{}
	for _, gap := range a.Coverage.Gaps {
		lost[gap.Shard] = gap.Reason != policy.ReasonIncomplete
		partial[gap.Shard] = gap.Reason == policy.ReasonIncomplete
	}
	given := map[string]bool{}
	for _, item := range a.Items {
		given[item.Key] = true
	}
	all, _, _ := index.ExpectedAnswer(target.KindSearch, body.Query, "", 0)
	var want, got []target.Item
	for _, item := range all {
		shard := index.ShardOf(item.Key)
		if !lost[shard] && (!partial[shard] || given[item.Key]) {
			want = append(want, item)
		}
	}
	got = a.Items
	if body.Limit > 0 && len(want) > body.Limit {
		want = want[:body.Limit]
	}
	equal := func(a, b target.Item) bool {
		return a.Key == b.Key && a.Score == b.Score && string(a.Fields) == string(b.Fields)
	}
	if !slices.EqualFunc(got, want, equal) {
		return fmt.Errorf("snapshot %s: %d items, want %d, with gaps %+v", index.Snapshot, len(got), len(want), a.Coverage.Gaps)
	}
	return nil
}
