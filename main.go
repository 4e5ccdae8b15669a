// Sassafrasring is a query tier over many shards. The same binary runs the nodes
// and the operators' command-line client.
package main

import (
	"os"

	"sassafrasring.dev/sassafrasring/internal/cmdln"
)

func main() { os.Exit(cmdln.Main(os.Args[1:], os.Stdout, os.Stderr)) }
