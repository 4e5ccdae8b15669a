// Sassafrasring is a query tier over many shards: one binary for the nodes
// and for their operators.
package main

import (
	"os"

	"sassafrasring.dev/sassafrasring/internal/cmdln"
)

func main() { os.Exit(cmdln.Main(os.Args[1:], os.Stdout, os.Stderr)) }
