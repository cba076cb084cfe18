// Package bench measures the decision packages entry and cell in a discrete-event simulation with virtual time. Fakes
// replace engines, the weight store and the network. Each result is printed with its target, the result of a baseline
// policy on the same trace, and a theoretical bound, which follows from hindsight or from the speed of the hardware.
package bench
