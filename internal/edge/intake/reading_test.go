package intake

import (
	"net/netip"
	"strings"
	"testing"
)

func TestReadingsOutsideTheirLimitsAreInvalid(t *testing.T) {
	script := newScript(t, nil)
	script.offer("", 1, true)
	script.offer(strings.Repeat("x", MaxDeviceNameBytes+1), 2, true)
	script.offerValue("a", 1, 3, "", true)
	script.offerValue("a", 1, 4, strings.Repeat("x", MaxValueBytes+1), true)
	unknownRoute := Reading{ID: ID{"a", 1, 5}, Route: 1, Value: []byte("v")}
	script.in.Offer(script.now, unknownRoute, DeclaredHistory{}, Origin{Index: 5}, netip.Prefix{})
	script.want("invalid1 invalid2 invalid3 invalid4 invalid5")
}

func TestRowsAndKeysDoNotCollide(t *testing.T) {
	seen := map[string]ID{}
	ids := []ID{{"a", 1, 2}, {"a", 2, 1}, {"a", 1, 1}, {"b", 1, 2}, {"a\x00", 1, 2}, {"", 0, 0}, {"a", 0, 1 << 32}}
	for _, id := range ids {
		for _, name := range []string{id.Row(), id.Key()} {
			if other, ok := seen[name]; ok || len(name) != 32 {
				t.Errorf("Row or Key of %v, compared with %v: got %q, want 32 digits of its own", id, other, name)
			}
			seen[name] = id
		}
	}
}
