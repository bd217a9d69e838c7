package membership

import (
	"fmt"
	"testing"
)

// TestMemberBehindRequestsPageAfterPage checks that a member which learned of a
// larger view requests a page at every probe interval, starting where the last
// reply ended, until no peer reports a larger view.
func TestMemberBehindRequestsPageAfterPage(t *testing.T) {
	cfg := Defaults()
	cfg.Name = "me"
	cfg.Addr = "127.0.0.1:1"
	n := New(cfg, 0)
	page := Message{Kind: SyncReply, From: "m00", Count: 40}
	for i := range 10 {
		member := Update{Name: fmt.Sprintf("m%02d", i), Addr: fmt.Sprint("at ", i), Start: 1}
		page.Updates = append(page.Updates, member)
	}
	n.Receive("at 0", page, 0)
	requests := func(from, to int64) (count int, after string) {
		for now := from; now < to; now += 20 {
			for _, p := range n.Tick(now).Packets {
				if p.Message.Kind == Sync {
					count++
					after = p.Message.After
				}
			}
		}
		return count, after
	}
	if count, after := requests(20, 1020); count < 4 || after != "m09" {
		t.Errorf("%d requests in 1 s while behind, the last after %q, want at least 4, the last after m09", count, after)
	}
	requests(1020, 4*cfg.PushPullIntervalMs)
	if count, _ := requests(4*cfg.PushPullIntervalMs, 8*cfg.PushPullIntervalMs); count > 5 {
		t.Errorf("%d requests in 4 s while not behind, want at most 5", count)
	}
}
