// Package scenario holds scripted end-to-end tests that run hosts and stand-ins
// as separate processes. The scripts are in testdata.
package scenario
