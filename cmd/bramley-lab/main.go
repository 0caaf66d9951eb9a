// Command bramley-lab runs the stand-ins that tests and benchmarks use.
package main

func main() {}
