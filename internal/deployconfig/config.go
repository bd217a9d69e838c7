// Package deployconfig reads a router's deployment configuration: the environment
// variables GW_*, and the JSON file that GW_CONFIG names. An invalid file is an
// error and yields no configuration, so that a caller that reloads keeps its
// current one.
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

// Environment variables. All but GW_CONFIG override the file's keys name, listen
// and discovery.
const (
	variableFile      = "GW_CONFIG"
	variableName      = "GW_NAME"
	variableListen    = "GW_LISTEN"
	variableDiscovery = "GW_DISCOVERY"
)

// ErrNoFile is returned by Load if GW_CONFIG is not set.
var ErrNoFile = errors.New(variableFile + " is not set: it must name the configuration file")

// Config is a router's validated configuration.
type Config struct {
	Name           string
	Listen         string  // address and port for clients
	Discovery      string  // address and port of the discovery service
	Seed           uint64  // seed of the router's random draws
	MemoryMiB      float64 // memory limit of the process, 0 for none
	Descriptors    int     // file descriptor limit of the process, 0 for none
	Settings       *routingconfig.Settings
	EndpointIDs    *discovery.EndpointIDs // assigns the endpoints' IDs; it assigned those in KnownEndpoints
	KnownEndpoints discovery.Update       // the last known endpoint list, possibly empty
}

// Load reads the file that GW_CONFIG names. GW_NAME, GW_LISTEN and GW_DISCOVERY
// override the file. Errors name the file.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv(variableFile)
	if path == "" {
		return nil, ErrNoFile
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration file: %w", err)
	}
	config, err := Parse(data, getenv)
	if err != nil {
		return nil, fmt.Errorf("configuration file %s: %w", path, err)
	}
	return config, nil
}

// Reload reads the file again while the program runs. It ignores GW_DISCOVERY,
// which gives only the address at the start: a reload takes the file's.
func Reload(getenv func(string) string) (*Config, error) {
	return Load(func(variable string) string {
		if variable == variableDiscovery {
			return ""
		}
		return getenv(variable)
	})
}

// Parse reads a configuration from the contents of a file and the environment. The
// address to listen on and that of discovery are required, from one of the two, and
// so is the key settings. Unknown keys are ignored, and a limit or a seed of another
// JSON type counts as missing.
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
		return nil, fmt.Errorf("limits: memory_mb %v and sockets %d must not be negative",
			config.MemoryMiB, config.Descriptors)
	}
	settings := object.Get("settings")
	if settings == nil {
		return nil, errors.New("settings: required key is missing")
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

// checkAddresses returns an error if an address is not an IP address and port.
func (c *Config) checkAddresses() error {
	for name, address := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// parseSeed reads the seed, 64 bits in hexadecimal; 0 if the file has none.
func parseSeed(object *fastjson.Value) (uint64, error) {
	text := string(object.GetStringBytes("seed"))
	if text == "" {
		return 0, nil
	}
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("seed %q: not a 64-bit number in hexadecimal", text)
	}
	return seed, nil
}
