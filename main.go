package main

import (
	"os"

	"github.com/fireflycleat/fireflycleat/internal/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:]))
}
