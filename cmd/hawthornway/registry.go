package main

// registration is one subcommand.
type registration struct {
	name, short, long string
	build             func(*console) any
}

var registrations []registration

// register adds a subcommand. The function build returns a struct with go-flags
// tags that implements flags.Commander or has subcommands. Each command is
// registered by an init function in its own file.
func register(name, short, long string, build func(*console) any) {
	registrations = append(registrations, registration{name, short, long, build})
}
