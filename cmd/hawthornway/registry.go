package main

// registration is one subcommand.
type registration struct {
	name, short, long string
	build             func(*console) any
}

var registrations []registration

// register adds a subcommand. Build returns a struct with go-flags tags; it is
// a flags.Commander or holds subcommands. Each command's file registers it in
// its init function.
func register(name, short, long string, build func(*console) any) {
	registrations = append(registrations, registration{name, short, long, build})
}
