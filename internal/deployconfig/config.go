// Package deployconfig reads what the deployment tells a router: the
// environment, and the JSON file that GW_CONFIG names. A file that is not in
// order is an error, and the caller keeps what it had.
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

// The environment's variables. All but the first take the place of what the
// file says.
const (
	variableFile      = "GW_CONFIG"
	variableName      = "GW_NAME"
	variableListen    = "GW_LISTEN"
	variableDiscovery = "GW_DISCOVERY"
)

// ErrNoFile is returned by Load where the environment names no file.
var ErrNoFile = errors.New(variableFile + " names no configuration file")

// Config is a router's configuration, checked.
type Config struct {
	Name           string
	Listen         string // address for clients
	Discovery      string // address of the discovery service
	Seed           uint64
	MemoryMiB      float64 // limit of the process, 0 for none
	Descriptors    int     // limit of the process, 0 for none
	Settings       *routingconfig.Settings
	EndpointIDs    *discovery.EndpointIDs
	KnownEndpoints discovery.Update // as last known, possibly empty
}

// Load reads the file that GW_CONFIG names. GW_NAME, GW_LISTEN and
// GW_DISCOVERY take the place of what the file says.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv(variableFile)
	if path == "" {
		return nil, ErrNoFile
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	config, err := Parse(data, getenv)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return config, nil
}

// Reload reads the file again while the program runs. GW_DISCOVERY was the
// address at the start; the file names the one from now on.
func Reload(getenv func(string) string) (*Config, error) {
	return Load(func(variable string) string {
		if variable == variableDiscovery {
			return ""
		}
		return getenv(variable)
	})
}

// Parse reads the file's contents.
func Parse(data []byte, getenv func(string) string) (*Config, error) {
	object, err := fastjson.ParseBytes(data)
	if err != nil {
		return nil, err
	}
	text := func(variable, key string) string {
		if value := getenv(variable); value != "" {
			return value
		}
		return string(object.GetStringBytes(key))
	}
	config := &Config{
		Name:        text(variableName, "name"),
		Listen:      text(variableListen, "listen"),
		Discovery:   text(variableDiscovery, "discovery"),
		MemoryMiB:   object.GetFloat64("limits", "memory_mb"),
		Descriptors: object.GetInt("limits", "sockets"),
	}
	if err := config.checkAddresses(); err != nil {
		return nil, err
	}
	if config.Seed, err = parseSeed(object); err != nil {
		return nil, err
	}
	if math.IsNaN(config.MemoryMiB) || config.MemoryMiB < 0 || config.Descriptors < 0 {
		return nil, errors.New("limits must not be negative")
	}
	settings := object.Get("settings")
	if settings == nil {
		return nil, errors.New("settings are missing")
	}
	if config.Settings, err = routingconfig.From(settings); err != nil {
		return nil, err
	}
	config.EndpointIDs = discovery.NewEndpointIDs(config.Settings.Zones)
	if known := object.Get("known"); known != nil {
		if config.KnownEndpoints, err = config.EndpointIDs.Parse(known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	return config, nil
}

func (c *Config) checkAddresses() error {
	for name, address := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// parseSeed reads the seed, 0 if the file has none.
func parseSeed(object *fastjson.Value) (uint64, error) {
	text := string(object.GetStringBytes("seed"))
	if text == "" {
		return 0, nil
	}
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("seed %q is not 64 bits in hexadecimal", text)
	}
	return seed, nil
}
