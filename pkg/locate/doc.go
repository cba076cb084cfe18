// Package locate chooses the cell that should load a model: one that holds replica permits, otherwise the model's preferred
// cell, or another one if those have no memory.
package locate
