// Package clocks relates the clocks of different hosts. The clocks may differ by any amount and drift by up to 0.1%, and the wall
// clock of a host may step; durations measured on one host are reliable. Daemons therefore send each other ages: the sender
// translates an instant in a message to be relative to Epoch, and the receiver translates it back. Platform times, such as
// those of log records, are compared only with each other or with the bounds that a Remote derives from the platform's answers.
package clocks
