// Command limpet is the operators' command line of limpetlb.
package main

func main() {}
