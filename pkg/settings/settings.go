// Package settings reads the INI settings of the entry daemon and of the
// stand-ins.
package settings

import (
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// Node holds the settings of an entry daemon.
type Node struct {
	ID         string        `ini:"id"`
	DataCentre string        `ini:"data_centre"`
	Listen     string        `ini:"listen"`
	Admin      string        `ini:"admin_listen"`
	Peer       string        `ini:"peer_listen"`
	PeerKey    string        `ini:"peer_key"`
	Platform   string        `ini:"platform"`
	Drain      time.Duration `ini:"drain_notice"`
}

// LoadNode reads the [node] section of a file.
func LoadNode(path string) (Node, error) {
	n := Node{Drain: 3 * time.Second}
	file, err := ini.Load(path)
	if err != nil {
		return n, errors.Wrap(err, "read settings")
	}
	return n, errors.Wrap(file.Section("node").MapTo(&n), "read section node")
}
