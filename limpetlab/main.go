// Command limpetlab runs stand-ins, demonstrations, loads and benches.
package main

func main() {}
