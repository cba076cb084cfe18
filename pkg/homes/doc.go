// Package homes chooses the cell that is asked to load a model: a cell that holds replica permits, else the model's home
// cell, else, while those have no memory, another one.
package homes
