// Package bench measures the decision packages entry and cell in virtual time: an event queue feeds the event machines,
// small fakes stand in for engines, weight store and network, and each result is printed beside its target, a baseline
// on the same trace and the hindsight or physical bound.
package bench
