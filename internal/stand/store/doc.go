// Package store is the stand-in of the weight store, which starts loads at a limited rate and divides its speed among them.
package store
