// Command monsoonkeeld is the daemon that runs on every entry host.
package main

import "monsoonkeel.example/monsoonkeel/internal/cmd/daemoncmd"

func main() { daemoncmd.Main() }
