// Package cmds implements the commands of the fireflycleat binary.
package cmds
