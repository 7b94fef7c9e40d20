// Command monsoonkeel-entry forwards requests of callers to backend servers, on
// an entry host of the users' platform.
package main

import "monsoonkeel.example/monsoonkeel/internal/cmd/entrycmd"

func main() { entrycmd.Main() }
