// Package intake bounds what the clients of a process may occupy: it charges what they send to a ledger before memory is allocated for it, and
// interrupts connections that hold most without progress when there is too little room.
package intake
