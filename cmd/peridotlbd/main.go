// Command peridotlbd is the daemon beside each backend server host.
package main

func main() {}
