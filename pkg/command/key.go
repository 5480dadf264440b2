package command

import (
	"bufio"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

func newHash() *Command {
	return &Command{
		name: "hash", synopsis: "print the SHA-256 of a key, for use in declarations",
		help: "Reads the key from the first line of standard input, so that it does not appear in the list of processes.",
		run: func(_ context.Context, e *environment, args []string) error {
			if len(args) != 0 {
				return errUsage
			}
			line, err := bufio.NewReader(e.stdin).ReadString('\n')
			key := strings.TrimSpace(line)
			if key == "" {
				return errors.New("no key on standard input: " + fmt.Sprint(err))
			}
			fprintf(e.stdout, "%x\n", sha256.Sum256([]byte(key)))
			return nil
		},
	}
}

func newKey() *Command {
	return &Command{
		name: "key", synopsis: "print a new random key and its SHA-256",
		run: func(_ context.Context, e *environment, args []string) error {
			if len(args) != 0 {
				return errUsage
			}
			key := rand.Text()
			fprintf(e.stdout, "key         %s\nkey_sha256  %x\n", key, sha256.Sum256([]byte(key)))
			return nil
		},
	}
}
