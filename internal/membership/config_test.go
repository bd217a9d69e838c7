package membership

import (
	"errors"
	"testing"
)

// TestErrorTypes checks the error types that callers can distinguish, and their
// fields.
func TestErrorTypes(t *testing.T) {
	cfg := Defaults()
	cfg.Name = "me"
	cfg.MaxPacketBytes = minPacketBytes - 1
	var setting *ConfigError
	if err := cfg.Check(); !errors.As(err, &setting) || setting.Setting != "max_packet" {
		t.Errorf("Check of a small MaxPacketBytes returned %v, want a *ConfigError of max_packet", err)
	}
	var unknown *UnknownStateError
	var state State
	if err := state.UnmarshalText([]byte("asleep")); !errors.As(err, &unknown) || unknown.Text != "asleep" {
		t.Errorf("UnmarshalText(asleep) returned %v, want an *UnknownStateError with the text", err)
	}
}
