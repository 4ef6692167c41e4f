// Command hawthornway runs an entry host and the operators' commands.
package main

func main() {}
