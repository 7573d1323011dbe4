// Command standin is part of oleanderline.
package main

import (
	"github.com/alexflint/go-arg"

	"github.com/oleanderline/oleanderline/pkg/common"
)

type settings struct{}

func main() {
	arg.MustParse(&settings{})
	common.New("standin")
}
