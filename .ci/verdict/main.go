// Command verdict reads the output of go test -json and fails unless exactly the tests listed in
// KNOWN-RED.txt failed.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

const maxLineBytes = 16 << 20

var errUnexpected = errors.New("test results differ from KNOWN-RED.txt")

type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

type results struct {
	outputs map[string][]string
	failed  map[string]bool
	passed  map[string]bool
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: verdict KNOWN-RED.txt < go-test-json")
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Stdin); err != nil {
		fmt.Fprintln(os.Stderr, "verdict:", err)
		os.Exit(1)
	}
}

func run(listFile string, in io.Reader) error {
	known, err := readKnown(listFile)
	if err != nil {
		return err
	}
	res, err := readResults(in)
	if err != nil {
		return err
	}
	return compare(known, res)
}

// byHand begins the entry of a finding that no test of the script shows, such as a day of the users' bench.
const byHand = "by hand"

// readKnown returns "package test" of each entry, and prints the findings by hand. A missing file lists nothing.
func readKnown(name string) ([]string, error) {
	data, err := os.ReadFile(name) //nolint:gosec // the file is named by the CI script
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var known []string
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		entry, finding, _ := strings.Cut(line, "|")
		if strings.TrimSpace(entry) == byHand {
			fmt.Println("known red, not run here:", strings.TrimSpace(finding))
			continue
		}
		known = append(known, strings.Join(strings.Fields(entry), " "))
	}
	return known, nil
}

func readResults(in io.Reader) (results, error) {
	res := results{outputs: map[string][]string{}, failed: map[string]bool{}, passed: map[string]bool{}}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var ev event
		if err := json.Unmarshal(lines.Bytes(), &ev); err != nil {
			fmt.Println(lines.Text())
			continue
		}
		res.add(ev)
	}
	return res, lines.Err()
}

func (r results) add(ev event) {
	name := strings.TrimSpace(ev.Package + " " + ev.Test)
	switch ev.Action {
	case "output", "build-output":
		if ev.Test == "" {
			fmt.Print(ev.Output)
			return
		}
		r.outputs[name] = append(r.outputs[name], ev.Output)
	case "fail", "build-fail":
		r.failed[name] = true
		fmt.Print(strings.Join(r.outputs[name], ""))
	case "pass":
		r.passed[name] = true
		delete(r.outputs, name)
	}
}

// expected reports whether a known test explains the failure: the test itself, its parents or its package.
func expected(name string, known []string) bool {
	return slices.ContainsFunc(known, func(k string) bool {
		return k == name || strings.HasPrefix(k, name+"/") || strings.HasPrefix(k, name+" ")
	})
}

func compare(known []string, res results) error {
	var problems []string
	for name := range res.failed {
		if !expected(name, known) {
			problems = append(problems, "failed: "+name)
		}
	}
	for _, name := range known {
		if res.failed[name] {
			fmt.Println("known red, still failing:", name)
			continue
		}
		problems = append(problems, "listed in KNOWN-RED.txt but did not fail, remove its entry: "+name)
	}
	if len(res.passed) == 0 {
		problems = append(problems, "no test passed")
	}
	if len(problems) == 0 {
		return nil
	}
	slices.Sort(problems)
	return fmt.Errorf("%w:\n%s", errUnexpected, strings.Join(problems, "\n"))
}
