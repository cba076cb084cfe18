// Command fireflycleat runs the daemon of an entry host, the operator's commands and the platform stand-ins.
package main
