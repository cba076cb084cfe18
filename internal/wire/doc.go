// Package wire holds the JSON types and header names of the platform's protocols: log service, host list, weight store
// and model engine. The daemon's clients and the stand-ins share them and nothing else.
package wire
