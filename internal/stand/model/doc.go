// Package model is the stand-in of a model engine. It batches requests continuously, streams deterministic answers, and
// executes orders to load and unload. It counts violations, such as overcommitted memory, instead of preventing them.
package model
