package main

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"github.com/geraniumworks/geraniumworks/internal/request/gwpreview"
)

type whereCommand struct {
	app    *app
	Host   string `long:"host" required:"yes" description:"host name of the request"`
	Path   string `long:"path" required:"yes" description:"path of the request, with its query"`
	Key    string `long:"key" description:"key of the request (default: the one in the path or the query)"`
	Method string `long:"method" default:"GET" description:"method of the request"`
	Tenant string `long:"tenant" description:"tenant of the request (default: the only one)"`
	Bytes  int64  `long:"bytes" description:"size of the request body"`
}

func (c *whereCommand) Execute([]string) error {
	client, err := c.app.admin()
	if err != nil {
		return err
	}
	answer, err := client.Where(c.app.ctx, url.Values{
		"host": {c.Host}, "path": {c.Path}, "key": {c.Key}, "method": {c.Method}, "tenant": {c.Tenant},
		"bytes": {strconv.FormatInt(c.Bytes, 10)},
	})
	if err != nil {
		return err
	}
	return c.app.print(answer, whereRows(answer))
}

// Where returns where the host would send a request.
func (c *adminClient) Where(ctx context.Context, query url.Values) (gwpreview.Answer, error) {
	var answer gwpreview.Answer
	err := c.get(ctx, "/v1/where", query, &answer)
	return answer, err
}

func whereRows(a gwpreview.Answer) [][]string {
	rows := [][]string{
		{"asked host", string(a.Host)},
		{"configuration", strconv.FormatUint(uint64(a.ConfigVersion), 10)},
		{"route", orDash(a.Route)},
		{"tenant", orDash(string(a.Tenant))},
		{"service", orDash(string(a.Service))},
	}
	for _, s := range a.Split {
		rows = append(rows, []string{"split", fmt.Sprintf("%s %v", s.Service, s.Weight)})
	}
	if len(a.HomeRegions) > 0 {
		names := make([]string, len(a.HomeRegions))
		for i, r := range a.HomeRegions {
			names[i] = string(r)
		}
		rows = append(rows, []string{"home regions", strings.Join(names, ", ")})
	}
	if a.Position != nil {
		rows = append(rows, []string{"position", a.Position.String()}, []string{"owner", string(a.Owner)},
			[]string{"token", strconv.FormatUint(uint64(a.Token), 10)})
	}
	if a.Refusal != nil {
		rows = append(rows, []string{"refused", refusalText(a)})
	}
	if len(a.Candidates) == 0 {
		return rows
	}
	rows = append(rows, nil,
		[]string{"SERVER", "DATA CENTRE", "SCORE MS", "WAIT MS", "SERVICE MS", "SLOWNESS", "IN FLIGHT", "AGE MS", "NOTE"})
	for _, c := range a.Candidates {
		age := "-"
		if c.AgeMilliseconds != nil {
			age = strconv.FormatInt(*c.AgeMilliseconds, 10)
		}
		rows = append(rows, []string{
			string(c.Server), string(c.DataCentre), fmt.Sprintf("%.0f", c.Score), fmt.Sprintf("%.0f", c.Wait),
			fmt.Sprintf("%.0f", c.Service), fmt.Sprintf("%.2f", c.Slowness), strconv.Itoa(c.InFlight), age, candidateNote(c),
		})
	}
	return rows
}

func refusalText(a gwpreview.Answer) string {
	text := a.Refusal.Error()
	if a.Refusal.RetryAfterMilliseconds > 0 {
		text += fmt.Sprintf(", retry after %d ms", a.Refusal.RetryAfterMilliseconds)
	}
	return text
}

func candidateNote(c gwpreview.Candidate) string {
	switch {
	case c.Refusal != nil && c.Refusal.RetryAfterMilliseconds > 0:
		return fmt.Sprintf("refuses: %s, retry after %d ms", c.Refusal.Reason, c.Refusal.RetryAfterMilliseconds)
	case c.Refusal != nil:
		return "refuses: " + string(c.Refusal.Reason)
	default:
		return orDash(c.PassedOver)
	}
}
