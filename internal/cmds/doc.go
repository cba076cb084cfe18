// Package cmds holds the commands of the fireflycleat binary, a file for each.
package cmds
