// Command monsoonkeeld is the daemon that routes requests on every entry host.
package main

import "monsoonkeel.example/monsoonkeel/internal/cmd/daemoncmd"

func main() { daemoncmd.Main() }
