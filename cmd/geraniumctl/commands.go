package main

const overview = `Checks, publishes and explains the configuration of geraniumworks.

Exit codes: 0 done; 1 failed, or diff found differences; 2 configuration not valid; 3 conflict with another ` +
	`publisher; 4 refused for what it would do; 5 outcome unknown; 6 store unavailable or busy, nothing changed; ` +
	`7 published but not in force on all hosts in time; 8 published data or audit trail damaged; 64 wrong usage.`

// command is a command with its help.
type command struct {
	name, short, long string
	data              any
}

func (a *app) commands() []command {
	return append(a.changeCommands(), a.lookCommands()...)
}

// changeCommands are the commands about files and about what is in service.
func (a *app) changeCommands() []command {
	return []command{
		{"check", "Check configuration files", `Checks files without changing anything. With a store, the files ` +
			`are checked together with those in force; without one, together when a site file is among them.

Examples:
  geraniumctl check samples/ship-names
  geraniumctl check --root registry registry/lookups/lookups.gw.json`, &checkCommand{app: a}},
		{"fmt", "Format configuration files", `Writes files in their customary form. Comments are kept.

Examples:
  geraniumctl fmt lookups
  geraniumctl fmt --check .`, &fmtCommand{app: a}},
		{"diff", "Compare files with those in force", `Shows fields that differ from the configuration in force, ` +
			`defaults included. The exit code is 1 when there are differences.

Examples:
  geraniumctl diff lookups/lookups.gw.json
  geraniumctl --output json diff .`, &diffCommand{app: a}},
		{
			"publish", "Publish configuration files", `Publishes the files that differ from those in force as a new ` +
				`version; all other files stay as they are. Then waits until all hosts have it in force. When someone else ` +
				`changed one of the files after the base version, nothing is published.

Examples:
  geraniumctl publish lookups/lookups.gw.json --reason "summer"
  geraniumctl publish --base 41 .
  geraniumctl publish --remove-only --remove claims/claims.gw.json`,
			&publishCommand{app: a},
		},
		{"rollback", "Restore the files of an earlier version", `Publishes the files of an earlier version as a new ` +
			`version. What is out of service stays so. Files that others changed after the base version are not touched.

Examples:
  geraniumctl rollback 41 --reason "claims are refused since version 42"
  geraniumctl rollback 41 --base 42 --reason "undo version 42 only"`, &rollbackCommand{app: a}},
		{"out", "Take a data centre, host or server out of service", `No new work is sent there within a few ` +
			`seconds. With --stopped you assert that all processes there are stopped for good; then what they owned is ` +
			`given to others at once. A wrong assertion can give a key two owners.

Examples:
  geraniumctl out data-centre holland-a --reason "power work until 14:00"
  geraniumctl out host entry-07 --reason "switched off" --stopped`, &outCommand{app: a}},
		{"in", "Put back into service", `Puts back what was taken out.

Examples:
  geraniumctl in data-centre holland-a --reason "power work is done"`, &inCommand{app: a}},
	}
}

// lookCommands are the commands that change nothing.
func (a *app) lookCommands() []command {
	return []command{
		{"status", "Show what is in force", `Shows the version in force, its files, what is out of service, ` +
			`and, with --admin, the version on each host.

Examples:
  geraniumctl status
  geraniumctl --admin http://10.0.0.1:9100 status`, &statusCommand{app: a}},
		{"explain", "Explain a route or URL", `Shows route, service, owner, limits and data centres of a request.

Examples:
  geraniumctl explain names
  geraniumctl explain https://names.example/names/De%20Geranium`, &explainCommand{app: a}},
		{"trace", "Follow a request through the hosts' logs", `Reads log files of hosts, or standard input, and shows ` +
			`in order what happened to a request, and what the hosts on its way came to believe before its end.

Examples:
  geraniumctl trace 9c41d07be2a35f68 /var/log/geraniumworks/*.log
  cat *.log | geraniumctl trace 9c41d07be2a35f68 --around 5s`, &traceCommand{app: a}},
		{"timeline", "Show what hosts came to believe", `Reads log files of hosts, or standard input, and shows in ` +
			`order what the hosts came to believe: controllers, dispatchers, sessions, configurations, and lost or ` +
			`regained dependencies. Lines about single requests are left out.

Examples:
  geraniumctl timeline --from 03:10:00 --to 03:10:30 /var/log/geraniumworks/*.log
  geraniumctl timeline --cell lookups/holland-a --server s1 *.log`, &timelineCommand{app: a}},
		{"owner", "Show which server owns a key", `Asks a host for the owner of a key.

Examples:
  geraniumctl owner lookups harbour-offices "De Geranium"`, &ownerCommand{app: a}},
		{
			"where", "Show where a request would go", `Asks a host where it would send a request now, and why: route, ` +
				`service, owner of the key, and candidates with the expected time to finish there. Sends no request to a ` +
				`server. What a dispatcher would refuse is known only for servers of which the asked host is the dispatcher.

Examples:
  geraniumctl where --host labels.example --path /labels/7
  geraniumctl --output json where --host names.example --path /names --key "De Geranium" --tenant harbour-offices`,
			&whereCommand{app: a},
		},
		{"audit", "Read and verify the audit trail", `Lists changes, newest first, and verifies their hash chain.

Examples:
  geraniumctl audit
  geraniumctl --output json audit --last 0`, &auditCommand{app: a}},
		{"version", "Show the version of this program", "Shows version, commit and Go release.", &versionCommand{app: a}},
	}
}
