// Package wire defines the JSON types and header names of the HTTP protocols of the platform's services (log service, host list,
// weight store and model engine) and of the operators' API. It is the only code that the daemon's clients and the stand-ins
// for these services share.
package wire
