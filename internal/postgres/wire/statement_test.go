package wire

import "testing"

// TestParseStatement checks the fields parsed from a comment, and that malformed
// comments are rejected.
func TestParseStatement(t *testing.T) {
	const read = `SELECT doc FROM items WHERE id = '7f3a' /* id=9b1f,c=basket,d=480,cluster=2,after=1767225600123 */`
	s, err := ParseStatement([]byte(read))
	if err != nil || string(s.ID) != "9b1f" || string(s.Class) != "basket" || s.Wait != 480 || s.Group != 2 ||
		s.SessionCommitAt != 1767225600123 || string(s.RowKey) != "7f3a" || read[s.WaitFrom:s.WaitTo] != "480" {
		t.Errorf("ParseStatement(%q) = %+v, %v, want the fields of its comment", read, s, err)
	}
	for _, malformed := range []string{
		"", "SELECT 1", "SELECT 1 /*", "/* */", "/* id=1,c=a,d=5,cluster=1 */ SELECT 1", "/* id=1,c=a,d=-5,cluster=1 */",
		"/* id=1,c=a,d=NaN,cluster=1 */", "/* id=1,c=a,d=1e300,cluster=1 */", "/* id=1,c=a,d=5,cluster=-1 */",
		"/* id=1,c=a,d=5,cluster=99999 */", "/* id=1,c=a,d=,cluster=1 */", "/* id=1,c=a,cluster=1 */",
		"/* c=a,d=5,cluster=1 */", "/* id=1,d=5,cluster=1 */", "/* id,c=a,d=5,cluster=1 */",
		"/* id=1,c=a,d=5,cluster=1,after=x */",
	} {
		if s, err := ParseStatement([]byte(malformed)); err == nil {
			t.Errorf("ParseStatement(%q) = %+v, want an error", malformed, s)
		}
	}
}
