// Package locate chooses the cell that is asked to load a model: one that holds replica permits, otherwise the model's
// preferred cell, otherwise, if those have no memory, another one.
package locate
