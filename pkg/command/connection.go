package command

import (
	"flag"
	"net/url"
	"os"
	"strings"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/operator"
)

const (
	defaultServer = "http://127.0.0.1:8090"
	// envServers and envKey name the environment variables that replace missing flags.
	envServers = "APRICOTGRADE_SERVERS"
	envKey     = "APRICOTGRADE_KEY"
)

// connectionFlags holds the values of the flags of commands that call a server.
type connectionFlags struct {
	servers serverList
	key     string
	keyFile string
}

// serverList is the value of a flag that may be repeated.
type serverList []string

// String implements flag.Value.
func (l *serverList) String() string { return strings.Join(*l, ",") }

// Set implements flag.Value.
func (l *serverList) Set(value string) error {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return errors.Errorf("%q is not an http or https URL such as %s", value, defaultServer)
	}
	*l = append(*l, value)
	return nil
}

func (c *connectionFlags) setFlags(f *flag.FlagSet) {
	f.Var(&c.servers, "server", "URL of the operator listener of an entry host; may be repeated; when a server is down the next one is tried\n(default "+envServers+", separated by commas, or "+defaultServer+")")
	f.StringVar(&c.keyFile, "key-file", "", "file with the operator key (default the environment variable "+envKey+")")
	f.StringVar(&c.key, "key", "", "operator key; it is visible in the list of processes, so prefer --key-file or "+envKey)
}

// newClient returns a client for the servers and the key from the flags or, for
// missing flags, from the environment.
func (c *connectionFlags) newClient() (*operator.Client, error) {
	key, err := c.operatorKey()
	if err != nil {
		return nil, err
	}
	servers := c.servers
	if len(servers) == 0 {
		for s := range strings.SplitSeq(os.Getenv(envServers), ",") {
			if s = strings.TrimSpace(s); s == "" {
				continue
			}
			if err := servers.Set(s); err != nil {
				return nil, errors.Wrap(err, envServers)
			}
		}
	}
	if len(servers) == 0 {
		servers = serverList{defaultServer}
	}
	return operator.NewClient(servers, key), nil
}

func (c *connectionFlags) operatorKey() (string, error) {
	switch {
	case c.key != "" && c.keyFile != "":
		return "", errors.New("give either --key or --key-file")
	case c.key != "":
		return c.key, nil
	case c.keyFile != "":
		content, err := os.ReadFile(c.keyFile)
		return strings.TrimSpace(string(content)), errors.Wrap(err, "read operator key")
	}
	if key := os.Getenv(envKey); key != "" {
		return key, nil
	}
	return "", errors.New("no operator key; give --key-file or set " + envKey)
}
