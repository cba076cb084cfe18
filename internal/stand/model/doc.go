// Package model is the stand-in of a model engine: it batches requests continuously, streams deterministic answers, obeys
// orders to load and unload, and counts violations instead of preventing them.
package model
