package once

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// Guards against malformed keys that are accepted, and against two forms of one key,
// which would be claimed separately. Leading zeros of the seconds must be dropped.
func TestParseKey(t *testing.T) {
	for _, tc := range []struct {
		text, want string
	}{
		{"1700000000-abcdefgh", "1700000000-abcdefgh"},
		{"0017-abc_-9XY", "17-abc_-9XY"}, // canonical form
		{"1700000000-" + strings.Repeat("a", 64), "1700000000-" + strings.Repeat("a", 64)},
		{"", ""},
		{"1700000000-abcdefg", ""},
		{"1700000000-" + strings.Repeat("a", 65), ""},
		{"-5-abcdefgh", ""},
		{"17000000000-abcdefgh", ""},
		{"1700000000-abc/efgh", ""},
		{"1700000000-abcdefgh\n", ""},
		{"abcdefgh", ""},
	} {
		g := NewWithT(t)
		key, err := ParseKey(tc.text)
		if tc.want == "" {
			g.Expect(result.CodeOf(err)).To(Equal(result.KeyRequired), "%q", tc.text)
			continue
		}
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(key.String()).To(Equal(tc.want))
	}
}

// Guards against a second run of a request whose claim was removed. A key that is too
// old may have been claimed and its claim removed. A key whose time is far in the
// future could still be used after its claim was removed. Both must be refused
// without a call of the platform.
func TestKeysOutsideValidityAreRefused(t *testing.T) {
	g := NewWithT(t)
	store := newFaultStore(1)
	a, w := startRunner(t, store, "a"), acceptedWork()
	req := request("d")
	for offset, want := range map[time.Duration]result.Code{
		-a.opts.KeyTTL - time.Minute:      result.KeyExpired,
		a.opts.MaxClockSkew + time.Minute: result.BadRequest,
	} {
		key, err := ParseKey(fmt.Sprintf("%d-abcdefgh", time.Now().Add(offset).Unix()))
		g.Expect(err).NotTo(HaveOccurred())
		req.Key = key
		g.Expect(a.Run(t.Context(), req, w.run).Code).To(Equal(want))
	}
	g.Expect(w.ran.Load()).To(BeZero())
	g.Expect(store.puts + store.gets).To(BeZero())
}

// Guards against a cleaner that removes claims of keys that may still be used, or
// claims of another deployment. It must remove the expired segments of its own
// deployment only, page by page.
func TestCleanerRemovesOldSegmentsInPages(t *testing.T) {
	g := NewWithT(t)
	var c clock
	store := newFaultStore(1)
	a := startRunner(t, store, "a", c.configure)
	for i := range 2*cleanPageSize + 1 {
		for _, deployment := range []string{"vatnsleit", "pletenica"} {
			name := segmentName(deployment, time.Now().Add(-time.Duration(i)*segmentWindow))
			_, err := store.Put(t.Context(), Kind, name, 0, []byte("{}"))
			g.Expect(err).NotTo(HaveOccurred())
		}
	}
	old := store.names("vatnsleit.")
	others := store.names("pletenica.")
	young := "vatnsleit.9999999999"
	_, err := store.Put(t.Context(), Kind, young, 0, []byte("{}"))
	g.Expect(err).NotTo(HaveOccurred())

	clean := cleanerWithDeployment(a)
	g.Expect(clean.cleanRound()).To(Succeed())
	g.Expect(store.names("vatnsleit.")).To(HaveLen(len(old) + 1))
	c.advance(a.opts.KeyTTL + a.opts.MaxClockSkew + segmentWindow)
	before, err := clean.advanceRecord(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	removed, more, err := clean.removePage(t.Context(), before)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(removed).To(Equal(cleanPageSize))
	g.Expect(more).To(BeTrue())
	g.Expect(clean.cleanRound()).To(Succeed())
	g.Expect(store.names("vatnsleit.")).To(Equal([]string{young}))
	g.Expect(store.names("pletenica.")).To(Equal(others))
}

// Guards against all VMs of a fleet listing and removing expired claims at the same
// time. In each hour, only maxCleaners of 50 VMs may do so, not always the same ones,
// also if the list of VMs contains one of them twice. A VM that gets an empty list
// must remove claims, or none would be removed.
func TestFewVMsRunCleaner(t *testing.T) {
	g := NewWithT(t)
	var vms []objstore.VM
	for i := range 50 {
		vms = append(vms, objstore.VM{Name: fmt.Sprint("vm", i)})
	}
	vms = append(vms, vms[0])
	cleaners := map[string]bool{}
	for hour := range 24 {
		count := 0
		for _, v := range vms[:50] {
			if isCleaner(vms, v.Name, time.Unix(int64(hour)*3600, 0)) {
				count++
				cleaners[v.Name] = true
			}
		}
		g.Expect(count).To(Equal(maxCleaners))
	}
	g.Expect(len(cleaners)).To(BeNumerically(">", 10), "the cleaners must change")
	g.Expect(isCleaner(nil, "alone", time.Now())).To(BeTrue())
}
