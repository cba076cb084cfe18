// Package golden checks that messages between hosts still match those of an earlier build, which are kept as files.
package golden
