// Command monsoonkeel-soak runs monsoonkeel-entry under disruptions and checks what callers and backend servers see.
package main

import "monsoonkeel.example/monsoonkeel/internal/cmd/soakcmd"

func main() { soakcmd.Main() }
