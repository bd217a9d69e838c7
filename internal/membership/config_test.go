package membership

import (
	"errors"
	"testing"
)

// TestErrorTypes checks the errors that callers may tell apart.
func TestErrorTypes(t *testing.T) {
	cfg := Defaults()
	cfg.Name = "me"
	cfg.MaxPacketBytes = minPacketBytes - 1
	var setting *ConfigError
	if err := cfg.Check(); !errors.As(err, &setting) || setting.Setting != "max_packet" {
		t.Errorf("a small packet: %v", err)
	}
	var unknown *UnknownStateError
	var state State
	if err := state.UnmarshalText([]byte("asleep")); !errors.As(err, &unknown) || unknown.Text != "asleep" {
		t.Errorf("an unknown state: %v", err)
	}
}
