package intake

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
)

// script records what the rules ask for, one word each.
type script struct {
	t     *testing.T
	in    *Intake
	now   float64
	said  []string
	last  uint64 // number of the last submission
	wait  float64
	until float64
	note  []Answer
}

func newScript(t *testing.T, change func(*Config)) *script {
	cfg := Defaults()
	if change != nil {
		change(&cfg)
	}
	s := &script{t: t, now: 1e6}
	in, err := New(cfg, []Route{{KeyTTL: 5000, Groups: []int{1}}}, 1, s)
	if err != nil {
		t.Fatal(err)
	}
	s.in = in
	return s
}

func (s *script) say(format string, args ...any) {
	s.said = append(s.said, fmt.Sprintf(format, args...))
}
func (s *script) Submit(id ID, n uint64, w Work, _ *Reading, _ int, wait float64) {
	s.last, s.wait = n, wait
	if w == Write {
		s.until = s.now + wait
	}
	s.say("%s%d", [...]string{"write", "check"}[w], id.Seq)
}
func (s *script) Answer(to Origin, a Answer) {
	s.note = append(s.note, a)
	s.say("%s%d", [...]string{"recorded", "stored", "conflict", "refused", "unknown", "invalid"}[a.Status], to.Index)
}
func (s *script) Persist(r *Reading)    { s.say("persist%d", r.Seq) }
func (s *script) Forget(id ID)          { s.say("forget%d", id.Seq) }
func (s *script) Quarantine(r *Reading) { s.say("quarantine%d", r.Seq) }

// want checks what was asked for since the last time.
func (s *script) want(words string) {
	s.t.Helper()
	if got := strings.Join(s.said, " "); got != words {
		s.t.Fatalf("got %q, want %q", got, words)
	}
	s.said = nil
}

// pass lets time pass, deadline by deadline.
func (s *script) pass(ms float64) {
	end := s.now + ms
	for at, ok := s.in.Next(); ok && at <= end; at, ok = s.in.Next() {
		s.now = max(at, s.now)
		s.in.Tick(s.now)
	}
	s.now = end
}

func (s *script) offer(device string, seq uint64, first bool) {
	s.offerValue(device, 1, seq, "v", first)
}

func (s *script) offerValue(device string, epoch, seq uint64, value string, first bool) {
	s.in.Offer(s.now, Reading{ID: ID{device, epoch, seq}, Value: []byte(value)}, Claim{First: first, NotBefore: s.now},
		Origin{Index: uint16(seq)}, netip.MustParsePrefix("10.0.0.0/24"))
}
func (s *script) served(value string) { s.in.Served(s.now, s.last, []byte(value)) }

// sure makes a device's epoch one whose claims are believed.
func (s *script) sure(device string) {
	s.offer(device, 0, true)
	s.want("check0")
	s.served("")
	s.want("write0")
	s.served("v")
	s.want("recorded0")
}

func TestAFirstReadingIsWrittenAtOnceAndAnotherIsCheckedFirst(t *testing.T) {
	s := newScript(t, nil)
	s.sure("a")
	s.offer("a", 1, true)
	s.want("write1")
	s.served("v")
	s.want("recorded1")
	s.offer("a", 2, false)
	s.want("check2")
	s.served("v")
	s.want("recorded2")
	if st := s.in.Stats(); st.Proven != 1 || st.Open != 0 || st.Bytes != 0 {
		t.Errorf("%+v", st)
	}
}

func TestAWriteThatMayHaveRunGoesOutAgainOnlyWithinItsWindow(t *testing.T) {
	s := newScript(t, nil)
	s.sure("a")
	s.offer("a", 1, true)
	s.want("write1")
	began := s.now
	s.pass(1200)
	s.in.Failed(s.now, s.last)
	s.pass(200)
	s.want("write1")
	s.say("write1")
	var dead float64
	for s.said[len(s.said)-1] == "write1" { // every further one ends within the key's window
		if s.until > began+5000 {
			t.Fatalf("a write may run %v ms after the first", s.until-began)
		}
		dead = s.until + 3000
		s.pass(s.wait)
		s.in.Failed(s.now, s.last)
		for n := len(s.said); len(s.said) == n && s.now < began+20000; {
			s.pass(1)
		}
	}
	// No attempt was left that could still run: only then does absence mean it.
	if last := s.said[len(s.said)-1]; last != "check1" || s.now < dead || s.now > dead+10 {
		t.Fatalf("%s at %v, the last attempt may run until %v", last, s.now-began, dead-began)
	}
	s.said = nil
	s.served("")
	s.want("write1")
	s.served("v")
	s.want("recorded1")
}

// A read says too little while an attempt of one's own may still be running.
func TestNoReadWhileAnAttemptMayRun(t *testing.T) {
	s := newScript(t, nil)
	s.sure("a")
	s.in.Offer(s.now, Reading{ID: ID{"a", 1, 1}, Value: []byte("v")}, Claim{First: true, NotBefore: s.now - 4000}, Origin{Index: 1},
		netip.Prefix{})
	s.want("write1") // 800 ms are left for it
	over := s.now + s.wait
	s.pass(s.wait)
	s.in.Failed(s.now, s.last)
	s.pass(over + 2990 - s.now)
	s.want("")
	s.pass(20)
	s.want("check1")
}

func TestACheckCoversNoMoreThanWhatItCouldSee(t *testing.T) {
	s := newScript(t, nil)
	s.offer("a", 1, false)
	s.want("check1")
	asked := s.now
	s.pass(1000)
	s.served("")
	s.want("write1")
	// An execution that began up to 3000 ms before the read was not seen; its
	// key ends 5000 ms after it began.
	if s.now+s.wait > asked-3000+5000 {
		t.Errorf("the write may run %v ms after the read", s.now+s.wait-asked)
	}
	s = newScript(t, nil)
	s.offer("a", 1, false)
	s.pass(1900) // the answer comes too late for a write
	s.said = nil
	s.served("")
	s.want("check1")
}

func TestClaimsOfADeviceThatLostItsCounterAreNotBelieved(t *testing.T) {
	s := newScript(t, func(c *Config) { c.Recent = 4 })
	s.sure("a")
	for seq := uint64(1); seq <= 6; seq++ {
		s.offer("a", seq, true)
		s.want(fmt.Sprintf("write%d", seq))
		s.served("v")
		s.said = nil
	}
	s.offerValue("a", 1, 0, "other", true) // forgotten by now
	s.want("check0")
	s.served("v")
	s.want("conflict0")
	s.offerValue("a", 1, 6, "other", true) // remembered
	s.want("conflict6")
	s.offer("a", 6, true)
	s.want("recorded6")
	s.offer("a", 9, true) // nothing is believed of this epoch any more
	s.want("check9")
	s.offerValue("a", 2, 0, "fresh", true) // a new epoch, seen for the first time
	s.want("check0")
	s.served("fresh")
	s.want("recorded0")
	s.offerValue("a", 2, 1, "fresh", true)
	s.want("write1")
	s.offerValue("a", 1, 12, "old", true) // of an epoch that has passed
	s.want("check12")
}

func TestTwoDevicesWithOneNameAreToldApart(t *testing.T) {
	s := newScript(t, nil)
	s.sure("a")
	s.offerValue("a", 1, 1, "one", true)
	s.want("write1")
	s.offerValue("a", 1, 1, "two", true) // while the first is under way
	s.want("conflict1")
	s.offerValue("a", 1, 1, "one", false)
	s.want("")
	s.served("one")
	s.want("recorded1 recorded1")
	// At another router the key drops the second within the window: what is
	// recorded is the other's.
	s.offerValue("a", 1, 2, "two", true)
	s.want("write2")
	s.served("one")
	s.want("conflict2")
}

func TestWithoutTrustEveryReadingIsChecked(t *testing.T) {
	s := newScript(t, func(c *Config) { c.TrustFirst = false })
	for seq := uint64(0); seq < 3; seq++ {
		s.offer("a", seq, true)
		s.want(fmt.Sprintf("check%d", seq))
		s.served("")
		s.served("v")
		s.said = nil
	}
}

func TestADeviceThatHoldsMostGivesWay(t *testing.T) {
	s := newScript(t, func(c *Config) { c.MaxReadings, c.MaxWindow, c.PerDevice = 6, 1, 5 })
	for seq := uint64(1); seq <= 5; seq++ {
		s.offer("greedy", seq, false)
	}
	s.want("check1")
	s.offer("greedy", 6, false)
	s.want("refused6") // its own bound
	s.offer("b", 11, false)
	s.want("")
	s.offer("c", 12, false)
	s.want("refused5") // the newest of whoever holds most
	s.offer("b", 13, false)
	s.want("refused4")
	s.offer("b", 14, false) // now b would hold as many
	s.want("refused14")
	if n := s.in.Stats().Evicted; n != 2 {
		t.Errorf("%d evicted", n)
	}
	urgent := Reading{ID: ID{"b", 1, 15}, Value: []byte("v"), Urgent: true}
	s.in.Offer(s.now, urgent, Claim{}, Origin{Index: 15}, netip.Prefix{})
	if s.want("refused13"); s.in.Stats().Open != 6 {
		t.Errorf("%+v", s.in.Stats())
	}
	s.served("v") // the urgent one goes first, though it came last
	s.want("recorded1 check15")
}

func TestANetworkHasItsBoundAndTheSumOfBytes(t *testing.T) {
	s := newScript(t, func(c *Config) { c.PerNetwork = 2 })
	for i, want := range []string{"check0", "check1", "refused2"} {
		s.offer(fmt.Sprint("d", i), uint64(i), false)
		s.want(want)
	}
	s = newScript(t, func(c *Config) { c.MaxBytes = 3 * (entryCost + 100) })
	for i, want := range []string{"check0", "check1", "check2", "refused3"} {
		s.offerValue(fmt.Sprint("d", i), 1, uint64(i), strings.Repeat("x", 90), false)
		s.want(want)
	}
}

func TestTheRememberedDevicesHaveABound(t *testing.T) {
	s := newScript(t, func(c *Config) { c.MaxDevices, c.Recent = 3, 2 })
	for i := range 50 {
		s.offer(fmt.Sprint("d", i), 0, false)
		s.served("v")
	}
	s.said = nil
	if n := s.in.Stats().Devices; n > 3 {
		t.Errorf("%d devices", n)
	}
	for i := range 3 {
		s.offer(fmt.Sprint("busy", i), 0, false)
	}
	s.offer("one too many", 1, false)
	s.want("check0 check0 check0 refused1")
}

// Refused devices return spread out, within the longest wait.
func TestWaitsAreSpread(t *testing.T) {
	s := newScript(t, func(c *Config) { c.PerNetwork = 1 })
	s.offer("a", 0, false)
	for i := range 500 {
		s.offer(fmt.Sprint("b", i), uint64(i), false)
	}
	var waits []float64
	for _, a := range s.note {
		waits = append(waits, a.Wait)
	}
	slices.Sort(waits)
	for i, w := range waits {
		if w < 500 || w > 30000 {
			t.Fatalf("a wait of %v", w)
		}
		if j := i + 50; j < len(waits) && waits[j]-w < 50 {
			t.Errorf("50 devices return within %v ms", waits[j]-w)
		}
	}
}

func TestTheWindowClosesOnRefusalsAndOpensSlowlyAfterAnOutage(t *testing.T) {
	s := newScript(t, func(c *Config) { c.PerNetwork = 1000; c.PerDevice = 1000 })
	g := s.in.group(1)
	for seq := range uint64(400) {
		s.offer(fmt.Sprint("d", seq%50), seq, false)
	}
	if g.out != firstWindow {
		t.Fatalf("%d out at first", g.out)
	}
	for range 200 {
		s.served("v")
	}
	if g.out < 15 {
		t.Errorf("%d out after 200 answers", g.out)
	}
	open := g.out
	for n := range s.in.out {
		s.pass(100)
		s.in.Failed(s.now, n)
		if len(s.in.out) < open/4 || s.now > 1e6+60000 {
			break
		}
	}
	if g.window > 3 {
		t.Errorf("a window of %v after nothing but failures", g.window)
	}
	g.window = 32 // as if it were open: it is the ramp that holds back now
	for n := range s.in.out {
		s.in.Served(s.now, n, []byte("v"))
		break
	}
	if l := g.limit(s.now, &s.in.cfg); l > 2 {
		t.Errorf("%d may be out at once after an outage", l)
	}
	if l := g.limit(s.now+5000, &s.in.cfg); l < 10 || l > 20 {
		t.Errorf("%d may be out at half of the ramp", l)
	}
	if l := g.limit(s.now+10000, &s.in.cfg); l < 30 {
		t.Errorf("%d may be out after the ramp", l)
	}
}

func TestARefusalWithAdviceHoldsTheGroup(t *testing.T) {
	s := newScript(t, nil)
	s.offer("a", 1, false)
	s.want("check1")
	s.in.Refused(s.now, s.last, 700)
	s.offer("b", 2, false)
	s.pass(690)
	s.want("")
	s.pass(20)
	s.want("check1 check2")
}

func TestWhoWaitsTooLongHearsSoAndAllIsLetGo(t *testing.T) {
	s := newScript(t, func(c *Config) { c.MaxWindow = 1; c.PerDevice = 9 })
	for seq := uint64(1); seq <= 3; seq++ {
		s.offer("a", seq, false)
	}
	s.want("check1")
	s.pass(20000)
	s.want("unknown1 unknown2 unknown3")
	s.in.Failed(s.now, s.last)
	if st := s.in.Stats(); st.Open != 0 || s.in.timers.Len() != 0 || len(s.in.networks) != 0 {
		t.Errorf("left: %+v, %d timers", st, s.in.timers.Len())
	}
	s.offer("b", 1, false) // copies of one reading that wait have a bound
	for range 10 {
		s.offer("b", 1, false)
	}
	if e := s.in.devices["b"].open[number{1, 1}]; len(e.waiters) != 4 {
		t.Errorf("%d wait", len(e.waiters))
	}
}

func TestAStoreAcknowledgesWhatItHoldsAndDeliversInOrder(t *testing.T) {
	s := newScript(t, func(c *Config) { c.Durable = true })
	s.offer("a", 1, true)
	s.offer("a", 2, true)
	s.want("persist1 persist2")
	s.in.Persisted(s.now, ID{"a", 1, 1}, true)
	s.in.Persisted(s.now, ID{"a", 1, 2}, true)
	s.want("stored1 check1 stored2")
	s.offer("a", 2, false)
	s.want("stored2")
	s.served("")
	s.want("write1")
	s.pass(1200)
	s.in.Failed(s.now, s.last)
	s.pass(200) // the second waits for the first
	s.want("write1")
	s.served("v")
	s.want("forget1 check2")
	s.served("other")
	s.want("quarantine2")
	s.offer("b", 3, true)
	s.in.Persisted(s.now, ID{"b", 1, 3}, false) // a full disk
	s.want("persist3 refused3")
	s.in.Recover(s.now, Reading{ID: ID{"c", 1, 4}, Value: []byte("v")})
	s.want("check4")
}

func TestWhatCannotBeRecordedIsInvalid(t *testing.T) {
	s := newScript(t, nil)
	s.offer("", 1, true)
	s.offer(strings.Repeat("x", MaxDevice+1), 2, true)
	s.offerValue("a", 1, 3, "", true)
	s.offerValue("a", 1, 4, strings.Repeat("x", MaxValue+1), true)
	s.in.Offer(s.now, Reading{ID: ID{"a", 1, 5}, Route: 1, Value: []byte("v")}, Claim{}, Origin{Index: 5}, netip.Prefix{})
	s.want("invalid1 invalid2 invalid3 invalid4 invalid5")
}

func TestAKeyThatEndsTooSoonIsRefusedAtTheStart(t *testing.T) {
	if _, err := New(Defaults(), []Route{{KeyTTL: 3400, Groups: []int{1}}}, 1, nil); err == nil {
		t.Error("a class that drops repeats for less than an attempt may run was taken")
	}
}

func TestIdentitiesDoNotMeet(t *testing.T) {
	seen := map[string]ID{}
	for _, id := range []ID{{"a", 1, 2}, {"a", 2, 1}, {"a", 1, 1}, {"b", 1, 2}, {"a\x00", 1, 2}, {"", 0, 0}, {"a", 0, 1 << 32}} {
		for _, s := range []string{id.Row(), id.Key()} {
			if other, ok := seen[s]; ok || len(s) != 32 {
				t.Errorf("%v and %v: %s", id, other, s)
			}
			seen[s] = id
		}
	}
}

func BenchmarkReading(b *testing.B) {
	s := &idleActions{}
	in, _ := New(Defaults(), []Route{{KeyTTL: 5000, Groups: []int{1}}}, 1, s)
	s.in = in
	value := []byte("12.5 kWh")
	b.ReportAllocs()
	for i := range b.N {
		in.Offer(float64(i), Reading{ID: ID{"a", 1, uint64(i)}, Value: value}, Claim{First: true, NotBefore: float64(i)}, Origin{}, netip.Prefix{})
		in.Served(float64(i), s.n, value)
		if in.open > 0 {
			in.Served(float64(i), s.n, value)
		}
	}
}

type idleActions struct {
	in *Intake
	n  uint64
}

func (a *idleActions) Submit(_ ID, n uint64, _ Work, _ *Reading, _ int, _ float64) { a.n = n }
func (a *idleActions) Answer(Origin, Answer)                                       {}
func (a *idleActions) Persist(*Reading)                                            {}
func (a *idleActions) Forget(ID)                                                   {}
func (a *idleActions) Quarantine(*Reading)                                         {}
