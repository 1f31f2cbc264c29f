package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
)

// HostVersion is the configuration version that one process has in force.
type HostVersion struct {
	Host     gw.HostName      `json:"host"`
	Instance gw.InstanceID    `json:"instance"`
	Version  gw.ConfigVersion `json:"config-version"`
}

// Versions tells which configuration versions are in force.
type Versions interface {
	// InForce returns the version of every live host.
	InForce(ctx context.Context) ([]HostVersion, error)
}

// maxAnswerBytes bounds an answer of the operators' listener; 1,500 hosts take about 200 KiB.
const maxAnswerBytes = 4 << 20

// adminClient calls the operators' listener of a host.
type adminClient struct {
	address string
	client  *http.Client
}

func (a *app) admin() (*adminClient, error) {
	if a.Admin == "" {
		return nil, usagef("no host is given; use --admin URL or GERANIUMCTL_ADMIN")
	}
	return &adminClient{strings.TrimRight(a.Admin, "/"), &http.Client{Timeout: 5 * time.Second}}, nil
}

// InForce returns the version of every live host.
func (c *adminClient) InForce(ctx context.Context) ([]HostVersion, error) {
	var answer struct {
		Hosts []HostVersion `json:"hosts"`
	}
	err := c.get(ctx, "/v1/versions", nil, &answer)
	return answer.Hosts, err
}

// Owner returns what the host knows about the owner of a key.
func (c *adminClient) Owner(ctx context.Context, service, tenant, key string) (map[string]any, error) {
	var answer map[string]any
	err := c.get(ctx, "/v1/owner", url.Values{"service": {service}, "tenant": {tenant}, "key": {key}}, &answer)
	return answer, err
}

func (c *adminClient) get(ctx context.Context, path string, query url.Values, answer any) error {
	address := c.address + path
	if len(query) > 0 {
		address += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return usagef("address of the host is not valid: %s", c.address)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		// The error of the client repeats the address with the key, which must not get into logs.
		var urlErr *url.Error
		if eris.As(err, &urlErr) {
			err = urlErr.Err
		}
		return eris.Wrapf(err, "ask %s%s", c.address, path)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return eris.Wrapf(err, "read the answer of %s%s", c.address, path)
	}
	if resp.StatusCode != http.StatusOK {
		const maxShown = 200
		return eris.Errorf("%s%s answered %s: %s", c.address, path, resp.Status,
			strings.TrimSpace(string(data[:min(len(data), maxShown)])))
	}
	return eris.Wrapf(json.Unmarshal(data, answer), "read the answer of %s%s", c.address, path)
}
