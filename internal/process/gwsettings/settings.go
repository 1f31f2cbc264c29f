// Package gwsettings loads and validates the settings of one geraniumworks process.
package gwsettings

import (
	"cmp"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/netip"
	"os"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/version/gwconfig"
)

// ErrNoAuthority is returned for an authority file without a certificate.
var ErrNoAuthority = errors.New("file holds no certificate")

// Settings are the settings of one process. They are read at start, and again when the process gets SIGHUP, see
// WithReloaded.
type Settings struct {
	Host       gw.HostName       `json:"host"`
	Region     gw.RegionName     `json:"region"`
	DataCentre gw.DataCentreName `json:"data-centre"`
	Listen     Addresses         `json:"listen"`
	Advertise  Addresses         `json:"advertise"`
	// StoreEndpoints and HostListEndpoints are lists of IP and port.
	StoreEndpoints    []string `json:"store-endpoints"`
	HostListEndpoints []string `json:"host-list-endpoints"`
	// Platform replaces StoreEndpoints and HostListEndpoints on the users' platform.
	Platform Platform `json:"platform,omitzero"`
	TLS      TLS      `json:"tls"`
	Log      Log      `json:"log"`
	// Cores is the share of processor cores that this host may use, LinkMegabits the speed of its network link in Mbit/s.
	// Hosts with more get more work for others; zero means that it is not known.
	Cores        float64 `json:"cores,omitempty"`
	LinkMegabits float64 `json:"link-megabits,omitempty"`
	// MemoryMegabytes and Descriptors are the memory and the file descriptors of the machine, from which the limits of
	// callers are derived. Zero means that they are not known.
	MemoryMegabytes float64 `json:"memory-megabytes,omitempty"`
	Descriptors     int     `json:"descriptors,omitempty"`
	// Callers are limits that replace the derived ones.
	Callers Callers `json:"callers,omitzero"`
	// DrainMilliseconds is the time between the moment at which a stopping process reports that it is not ready
	// and the moment at which it refuses new requests. It is longer than the balancer takes to notice.
	DrainMilliseconds int64 `json:"drain-milliseconds"`
	// StopMilliseconds bounds a planned stop when KillAfter is empty.
	StopMilliseconds int64 `json:"stop-milliseconds"`
	// KillAfter is the time from the signal to stop until the process is killed, as in 6s. A planned stop ends shortly
	// before.
	KillAfter string `json:"kill-after,omitempty"`
}

// Platform holds the addresses and data centres of the users' platform.
type Platform struct {
	// StoreEndpoint is the IP and port of the platform's store, empty when there is no platform.
	StoreEndpoint string `json:"store-endpoint"`
	// DataCentres are all data centres, including that of this host.
	DataCentres []DataCentre `json:"data-centres"`
	// RetrySlack is the number of retries that all hosts together may send to a service in one burst, beside a share of
	// its requests. A fraction is rounded down. Zero means the default.
	RetrySlack float64 `json:"retry-slack"`
	// Contracts are the parts of the platform's rules that are in force.
	Contracts []string `json:"contracts,omitempty"`
}

// DataCentre is a data centre of the platform.
type DataCentre struct {
	Name   gw.DataCentreName `json:"name"`
	Region gw.RegionName     `json:"region"`
}

// Regions returns the region of each data centre.
func (p Platform) Regions() map[gw.DataCentreName]gw.RegionName {
	regions := make(map[gw.DataCentreName]gw.RegionName, len(p.DataCentres))
	for _, dc := range p.DataCentres {
		regions[dc.Name] = dc.Region
	}
	return regions
}

// Addresses are the addresses of a process, each IP and port.
type Addresses struct {
	Callers   string `json:"callers"`
	Relay     string `json:"relay"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
	// Readiness serves only the readiness check of the balancer. It is optional, since Operators serves it too.
	Readiness string `json:"readiness,omitempty"`
}

// TLS names the files for mutual authentication between hosts. Either all three are set or none.
type TLS struct {
	CertificateFile string `json:"certificate-file"`
	KeyFile         string `json:"key-file"`
	AuthorityFile   string `json:"authority-file"`
}

// Log configures logging.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
	// Format is text or json.
	Format string `json:"format"`
}

// Default returns the values of omitted settings.
func Default() Settings {
	return Settings{
		Log:               Log{Level: "info", Format: "text"},
		DrainMilliseconds: 5_000,
		StopMilliseconds:  30_000,
	}
}

// Overrides are settings from the command line or the environment. They take precedence over the file.
type Overrides struct {
	Host              string   `long:"host" env:"GERANIUMWORKS_HOST" description:"name of this host"`
	Region            string   `long:"region" env:"GERANIUMWORKS_REGION" description:"region of this host"`
	DataCentre        string   `long:"data-centre" env:"GERANIUMWORKS_DATA_CENTRE" description:"data centre of this host"`
	ListenCallers     string   `long:"listen-callers" env:"GERANIUMWORKS_LISTEN_CALLERS" description:"IP and port for callers"`
	ListenRelay       string   `long:"listen-relay" env:"GERANIUMWORKS_LISTEN_RELAY" description:"IP and port for requests from other hosts"`
	ListenPeers       string   `long:"listen-peers" env:"GERANIUMWORKS_LISTEN_PEERS" description:"IP and port for control messages from other hosts"`
	ListenOperators   string   `long:"listen-operators" env:"GERANIUMWORKS_LISTEN_OPERATORS" description:"IP and port for operators and metrics"`
	StoreEndpoints    []string `long:"store-endpoint" env:"GERANIUMWORKS_STORE_ENDPOINTS" env-delim:"," description:"IP and port of the store; may be repeated"`
	HostListEndpoints []string `long:"host-list-endpoint" env:"GERANIUMWORKS_HOST_LIST_ENDPOINTS" env-delim:"," description:"IP and port of the host list; may be repeated"`
	TLSCertificate    string   `long:"tls-certificate-file" env:"GERANIUMWORKS_TLS_CERTIFICATE_FILE" description:"certificate of this host, PEM"`
	TLSKey            string   `long:"tls-key-file" env:"GERANIUMWORKS_TLS_KEY_FILE" description:"key of the certificate, PEM"`
	TLSAuthority      string   `long:"tls-authority-file" env:"GERANIUMWORKS_TLS_AUTHORITY_FILE" description:"authority of all hosts' certificates, PEM"`
	LogLevel          string   `long:"log-level" env:"GERANIUMWORKS_LOG_LEVEL" description:"debug, info, warn or error"`
	LogFormat         string   `long:"log-format" env:"GERANIUMWORKS_LOG_FORMAT" description:"text or json"`
}

// Load reads a settings file, applies overrides and validates the result. An empty name means that there is no file.
// Errors in settings are of type gwconfig.Errors.
func Load(name string, over Overrides) (Settings, error) {
	s := Default()
	data := []byte("{}")
	if name != "" {
		var err error
		if data, err = os.ReadFile(name); err != nil { //nolint:gosec // the operator names the file
			return Settings{}, eris.Wrap(err, "read settings")
		}
	}
	doc, err := gwconfig.ParseDocument(cmp.Or(name, "settings"), data, &s)
	if err != nil {
		return Settings{}, err
	}
	s = s.withOverrides(over)
	if errs := s.check(doc); len(errs) > 0 {
		return Settings{}, errs.Err()
	}
	return s.withAdvertised(), nil
}

func (s Settings) withOverrides(over Overrides) Settings {
	override(&s.Host, over.Host)
	override(&s.Region, over.Region)
	override(&s.DataCentre, over.DataCentre)
	override(&s.Listen.Callers, over.ListenCallers)
	override(&s.Listen.Relay, over.ListenRelay)
	override(&s.Listen.Peers, over.ListenPeers)
	override(&s.Listen.Operators, over.ListenOperators)
	override(&s.TLS.CertificateFile, over.TLSCertificate)
	override(&s.TLS.KeyFile, over.TLSKey)
	override(&s.TLS.AuthorityFile, over.TLSAuthority)
	override(&s.Log.Level, over.LogLevel)
	override(&s.Log.Format, over.LogFormat)
	if len(over.StoreEndpoints) > 0 {
		s.StoreEndpoints = over.StoreEndpoints
	}
	if len(over.HostListEndpoints) > 0 {
		s.HostListEndpoints = over.HostListEndpoints
	}
	return s
}

func override[T ~string](setting *T, value string) {
	if value != "" {
		*setting = T(value)
	}
}

// withAdvertised returns a copy in which advertised addresses that are not set default to the listen addresses.
func (s Settings) withAdvertised() Settings {
	fill := func(advertised *string, listened string) {
		if *advertised == "" {
			*advertised = listened
		}
	}
	fill(&s.Advertise.Callers, s.Listen.Callers)
	fill(&s.Advertise.Relay, s.Listen.Relay)
	fill(&s.Advertise.Peers, s.Listen.Peers)
	fill(&s.Advertise.Operators, s.Listen.Operators)
	return s
}

func (s Settings) check(doc *gwconfig.Document) gwconfig.Errors {
	var errs gwconfig.Errors
	fail := func(field, problem, allowed string) {
		errs = append(errs, doc.ErrorAt(field, problem, allowed))
	}
	required := map[string]string{
		"host": string(s.Host), "region": string(s.Region), "data-centre": string(s.DataCentre),
	}
	for _, field := range []string{"host", "region", "data-centre"} {
		if required[field] == "" {
			fail(field, "is missing", "a name")
		}
	}
	s.Listen.check("listen", true, fail)
	s.Advertise.check("advertise", false, fail)
	if s.Platform.StoreEndpoint == "" {
		checkEndpoints("store-endpoints", s.StoreEndpoints, fail)
		checkEndpoints("host-list-endpoints", s.HostListEndpoints, fail)
	} else {
		s.checkPlatform(fail)
	}
	s.checkTLS(fail)
	s.checkLog(fail)
	if s.Cores < 0 {
		fail("cores", "is negative", "a number of cores, 0 when it is not known")
	}
	if s.LinkMegabits < 0 {
		fail("link-megabits", "is negative", "Mbit/s, 0 when they are not known")
	}
	s.checkCallers(fail)
	s.checkStop(fail)
	return errs
}

func (s Settings) checkPlatform(fail func(field, problem, allowed string)) {
	checkAddress("platform.store-endpoint", s.Platform.StoreEndpoint, fail)
	if s.Platform.RetrySlack < 0 {
		fail("platform.retry-slack", "is negative", "0 or more")
	}
	if s.Platform.Regions()[s.DataCentre] != s.Region {
		fail("platform.data-centres", "does not give this host's data centre its region",
			"every data centre with its region, that of this host included")
	}
}

func (a Addresses) check(field string, required bool, fail func(field, problem, allowed string)) {
	for _, each := range []struct{ name, address string }{
		{"callers", a.Callers},
		{"relay", a.Relay},
		{"peers", a.Peers},
		{"operators", a.Operators},
		{"readiness", a.Readiness},
	} {
		if each.address != "" || required && each.name != "readiness" {
			checkAddress(field+"."+each.name, each.address, fail)
		}
	}
}

func checkAddress(field, address string, fail func(field, problem, allowed string)) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		fail(field, fmt.Sprintf("is %q", address), "an IP address and a port, as in 127.0.0.1:8080")
	}
}

func checkEndpoints(field string, addresses []string, fail func(field, problem, allowed string)) {
	if len(addresses) == 0 {
		fail(field, "is missing", "one or more addresses")
	}
	for i, address := range addresses {
		checkAddress(fmt.Sprintf("%s[%d]", field, i), address, fail)
	}
}

func (s Settings) checkTLS(fail func(field, problem, allowed string)) {
	given := 0
	for _, file := range []string{s.TLS.CertificateFile, s.TLS.KeyFile, s.TLS.AuthorityFile} {
		if file != "" {
			given++
		}
	}
	if given == 1 || given == 2 {
		fail("tls", "is incomplete", "certificate-file, key-file and authority-file together, or none")
		return
	}
	if given == 0 {
		return
	}
	if _, err := s.PeerTLS(); err != nil {
		fail("tls", err.Error(), "readable PEM files")
	}
}

func (s Settings) checkLog(fail func(field, problem, allowed string)) {
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		fail("log.level", fmt.Sprintf("is %q", s.Log.Level), "debug, info, warn or error")
	}
	switch s.Log.Format {
	case "text", "json":
	default:
		fail("log.format", fmt.Sprintf("is %q", s.Log.Format), "text or json")
	}
}

// PeerTLS returns the configuration for mutual TLS between hosts, or nil when no files are configured. The
// certificate is read again at each handshake, so that its renewal needs no restart.
func (s Settings) PeerTLS() (*tls.Config, error) {
	if s.TLS.CertificateFile == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(s.TLS.AuthorityFile)
	if err != nil {
		return nil, eris.Wrap(err, "read authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.Wrapf(ErrNoAuthority, "authority %s", s.TLS.AuthorityFile)
	}
	load := func() (*tls.Certificate, error) {
		cert, err := tls.LoadX509KeyPair(s.TLS.CertificateFile, s.TLS.KeyFile)
		if err != nil {
			return nil, eris.Wrap(err, "load certificate")
		}
		return &cert, nil
	}
	if _, err := load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		RootCAs:              pool,
		ClientCAs:            pool,
		ClientAuth:           tls.RequireAndVerifyClientCert,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return load() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return load() },
	}, nil
}
