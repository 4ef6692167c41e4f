// Package scenario holds scripted runs of whole systems as real processes:
// stand-ins, hosts and callers. The scripts are in testdata.
package scenario
