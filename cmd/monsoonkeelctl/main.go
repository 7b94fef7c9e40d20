// Command monsoonkeelctl is the operators' tool for monsoonkeel. Its exit codes are documented
// in package ctl.
package main

import "monsoonkeel.example/monsoonkeel/internal/cmd/ctl"

func main() { ctl.Main() }
