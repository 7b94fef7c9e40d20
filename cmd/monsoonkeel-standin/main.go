// Command monsoonkeel-standin runs a stand-in (test double) for an external
// system that monsoonkeel depends on, for tests and the demo.
package main

import "monsoonkeel.example/monsoonkeel/internal/cmd/standincmd"

func main() { standincmd.Main() }
