// Package ctrl provides the control thread: it runs steps one after the other, so that decision state needs no locks.
package ctrl
