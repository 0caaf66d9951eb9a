package edge

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// Guards against a refusal that loses its shards, its reason or the leaf time on its way, and against
// a VM of another release that names a shard that was not in the call.
func TestRefusalKeepsItsFieldsOnTheWay(t *testing.T) {
	g := gomega.NewWithT(t)
	call := scatter.CallVM{Shards: []int{4, 7, 9}}
	body, err := cbor.Marshal(&gatherAnswer{Last: true, Refused: true, Cause: scatter.RefusedForSelf, LeftOut: []int{0, 2}, LeafTimeUS: 6000})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var ans gatherAnswer
	g.Expect(decodeBody(body, &ans)).To(gomega.Succeed())
	got, err := toShardsAnswer(call, &ans)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got.leftOut).To(gomega.Equal([]int{4, 9}))
	g.Expect(got.cause).To(gomega.Equal(scatter.RefusedForSelf))
	g.Expect(got.leafTime).To(gomega.Equal(6 * time.Millisecond))

	ans.LeftOut = []int{3}
	_, err = toShardsAnswer(call, &ans)
	g.Expect(err).To(gomega.MatchError(errInvalidAnswer))
}
