// Command peridotlb is the operators' tool.
package main

func main() {}
