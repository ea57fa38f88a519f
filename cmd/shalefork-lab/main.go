// Command shalefork-lab holds the stand-ins and tools for tests; it is never
// deployed.
package main

func main() {}
