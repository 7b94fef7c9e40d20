// Command monsoonkeel-standin runs one stand-in for a system around monsoonkeel, for
// tests and the demo.
package main

import "monsoonkeel.example/monsoonkeel/internal/cmd/standincmd"

func main() { standincmd.Main() }
