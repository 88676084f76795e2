// Command limpetd is the daemon of limpetlb, the same on every entry VM.
package main

func main() {}
