// Package configurer loads and checks the settings of a process.
package configurer

import (
	"net/netip"
	"os"
	"slices"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/checker"
)

// Load reads settings from a file. The error lists every fault with its line and field.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse decodes settings; file is the name used in errors.
func Parse(file string, data []byte) (Settings, error) {
	document, faults := checker.Parse(file, data)
	if len(faults) > 0 {
		return Settings{}, faults
	}
	var s Settings
	if err := document.Decode("settings.json", &s); err != nil {
		return Settings{}, err
	}
	if faults := s.check(document); len(faults) > 0 {
		return Settings{}, faults.Sorted()
	}
	return s, nil
}

// check returns faults that the schema cannot express, such as equal addresses.
func (s Settings) check(d checker.Document) checker.Faults {
	var faults checker.Faults
	seen := map[string]string{}
	for _, field := range []struct{ pointer, address string }{
		{"/caller-address", s.CallerAddress},
		{"/operator-address", s.OperatorAddress},
		{"/peer-address", s.PeerAddress},
	} {
		address, err := netip.ParseAddrPort(field.address)
		if err != nil {
			faults = append(faults, d.Fault(field.pointer, "not an IP address and port: "+err.Error()))
			continue
		}
		if other, ok := seen[field.address]; ok && address.Port() != 0 {
			faults = append(faults, d.Fault(field.pointer, "same address as "+other))
		}
		seen[field.address] = field.pointer[1:]
	}
	if s.GossipMilliseconds*4 > s.LeaseMilliseconds {
		faults = append(faults, d.Fault("/gossip-milliseconds", "must be at most a quarter of lease-milliseconds"))
	}
	return append(faults, s.checkCertificates(d)...)
}

// checkCertificates returns faults for certificates of which some files are missing.
func (s Settings) checkCertificates(d checker.Document) checker.Faults {
	var faults checker.Faults
	for _, group := range [][]struct{ pointer, file string }{
		{{"/caller-certificate-file", s.CallerCertificateFile}, {"/caller-key-file", s.CallerKeyFile}},
		{{"/peer-certificate-file", s.PeerCertificateFile}, {"/peer-key-file", s.PeerKeyFile}, {"/peer-authority-file", s.PeerAuthorityFile}},
	} {
		for _, field := range group {
			if field.file == "" && slices.ContainsFunc(group, func(f struct{ pointer, file string }) bool { return f.file != "" }) {
				faults = append(faults, d.Fault(field.pointer, "needed together with the other files of the certificate"))
			}
		}
	}
	return faults
}

// LoadEntry reads settings of an entry instance on a platform from a file.
func LoadEntry(path string) (Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Entry{}, errors.Wrap(err, "read settings")
	}
	return ParseEntry(path, data)
}

// ParseEntry decodes settings of an entry instance on a platform; file is the name
// used in errors.
func ParseEntry(file string, data []byte) (Entry, error) {
	document, faults := checker.Parse(file, data)
	if len(faults) > 0 {
		return Entry{}, faults
	}
	var e Entry
	if err := document.Decode("entry.json", &e); err != nil {
		return Entry{}, err
	}
	return e, nil
}
