// Package ctrl provides the control thread, which runs steps sequentially so that decision state needs no locks.
package ctrl
