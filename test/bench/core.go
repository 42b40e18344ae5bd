package main

import "context"

func runCore(context.Context, *reporter) error { return nil }
