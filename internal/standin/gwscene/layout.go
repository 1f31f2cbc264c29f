package gwscene

import (
	"fmt"
	"net"
	"strconv"

	gw "github.com/geraniumworks/geraniumworks"
)

// Programs that a scene runs.
const (
	programHost    = "geraniumworks"
	programStandIn = "geraniumdev"
)

// layOut gives every process a name, an address and arguments.
func (s *Scene) layOut() {
	s.args["store"] = []string{programStandIn, "store", "--listen", s.StoreAddress()}
	s.args["host-list"] = []string{
		programStandIn, "host-list", "--listen", s.HostListAddress(), "--file", s.listingFile(),
	}
	group := 0
	for _, region := range s.plan.Regions {
		for _, dc := range region.DataCentres {
			group++
			s.layOutHosts(region.Name, dc, group)
			s.layOutServers(region.Name, dc, group)
		}
	}
}

func (s *Scene) layOutHosts(region gw.RegionName, dc gw.DataCentreName, group int) {
	for n := 1; n <= s.plan.Hosts; n++ {
		host := gw.HostEntry{
			Name:          gw.HostName(fmt.Sprintf("%s-entry-%d", dc, n)),
			Region:        region,
			DataCentre:    dc,
			State:         gw.EntryLive,
			CallerAddress: s.address(group, n, portCallers),
			PeerAddress:   s.address(group, n, portPeers),
			RelayAddress:  s.address(group, n, portRelay),
		}
		s.listing.Hosts = append(s.listing.Hosts, host)
		s.args[string(host.Name)] = append([]string{
			programHost, "run",
			"--host", string(host.Name), "--region", string(region), "--data-centre", string(dc),
			"--listen-callers", host.CallerAddress, "--listen-relay", host.RelayAddress,
			"--listen-peers", host.PeerAddress, "--listen-operators", s.OperatorsAddress(host),
			"--store-endpoint", s.StoreAddress(), "--host-list-endpoint", s.HostListAddress(),
		}, s.plan.HostFlags...)
	}
}

// firstServer is the last number of the address of a data centre's first server; hosts have the numbers below.
const firstServer = 100

func (s *Scene) layOutServers(region gw.RegionName, dc gw.DataCentreName, group int) {
	member := firstServer
	for _, service := range s.plan.Services {
		for n := 1; n <= service.Servers; n++ {
			server := gw.ServerEntry{
				Name:       gw.ServerName(fmt.Sprintf("%s-%s-%d", dc, service.Name, n)),
				Service:    service.Name,
				Region:     region,
				DataCentre: dc,
				State:      gw.EntryLive,
				Address:    s.address(group, member, portStandIn),
			}
			member++
			s.listing.Servers = append(s.listing.Servers, server)
			s.args[string(server.Name)] = serverArgs(server, service)
		}
	}
}

func serverArgs(server gw.ServerEntry, service Service) []string {
	args := []string{
		programStandIn, "server", "--listen", server.Address,
		"--name", string(server.Name), "--service", string(server.Service),
		"--region", string(server.Region), "--data-centre", string(server.DataCentre),
	}
	if service.Slots > 0 {
		args = append(args, "--slots", strconv.Itoa(service.Slots))
	}
	if service.Connections > 0 {
		args = append(args, "--connections", strconv.Itoa(service.Connections))
	}
	if !service.DividedByKey {
		// Servers of such services have no sessions.
		args = append(args, "--undivided", "--no-fencing")
	}
	return append(args, service.Flags...)
}

func withPort(address string, port int) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}
