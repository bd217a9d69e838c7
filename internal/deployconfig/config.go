// Package deployconfig reads what a router is told at its start: the environment
// and the JSON file that it names.
package deployconfig

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"strconv"

	"github.com/valyala/fastjson"

	"lotusbend/internal/discovery"
	"lotusbend/internal/routingconfig"
)

// Config is a router's configuration, checked.
type Config struct {
	Name, Listen, Discovery string
	Seed                    uint64
	MemoryMB                float64
	Sockets                 int
	Settings                *routingconfig.Settings
	Names                   *discovery.EndpointIDs
	Known                   discovery.Update
}

// Load reads the file that GW_CONFIG names. GW_NAME, GW_LISTEN and
// GW_DISCOVERY take the place of what the file says.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return nil, errors.New("GW_CONFIG names no configuration file")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	c, err := Parse(data, getenv)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// Reload reads the file again while the program runs. GW_DISCOVERY was the
// address at the start; the file names the one from now on.
func Reload(getenv func(string) string) (*Config, error) {
	return Load(func(name string) string {
		if name == "GW_DISCOVERY" {
			return ""
		}
		return getenv(name)
	})
}

// Parse reads the file's contents.
func Parse(data []byte, getenv func(string) string) (*Config, error) {
	v, err := fastjson.ParseBytes(data)
	if err != nil {
		return nil, err
	}
	text := func(variable, key string) string {
		if s := getenv(variable); s != "" {
			return s
		}
		return string(v.GetStringBytes(key))
	}
	c := &Config{
		Name: text("GW_NAME", "name"), Listen: text("GW_LISTEN", "listen"),
		Discovery: text("GW_DISCOVERY", "discovery"),
		MemoryMB:  v.GetFloat64("limits", "memory_mb"), Sockets: v.GetInt("limits", "sockets"),
	}
	for name, address := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	if seed := string(v.GetStringBytes("seed")); seed != "" {
		if c.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed %q is not 64 bits in hexadecimal", seed)
		}
	}
	if math.IsNaN(c.MemoryMB) || c.MemoryMB < 0 || c.Sockets < 0 {
		return nil, errors.New("limits must not be negative")
	}
	set := v.Get("settings")
	if set == nil {
		return nil, errors.New("settings are missing")
	}
	if c.Settings, err = routingconfig.From(set); err != nil {
		return nil, err
	}
	c.Names = discovery.NewEndpointIDs(c.Settings.Zones)
	if known := v.Get("known"); known != nil {
		if c.Known, err = c.Names.Parse(known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	return c, nil
}
