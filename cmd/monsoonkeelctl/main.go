// Command monsoonkeelctl is the command-line tool for operators of monsoonkeel.
// Package ctl documents its exit codes.
package main

import "monsoonkeel.example/monsoonkeel/internal/cmd/ctl"

func main() { ctl.Main() }
