// Command shalefork runs the gateway and the controller, and the operators'
// commands.
package main

func main() {}
