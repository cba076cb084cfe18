// Package fold decodes the records of the control stream and folds them into the control state. The fold is
// deterministic: every daemon that applies the same records, or starts at a snapshot of them, holds the same state.
package fold
