package inifile

import (
	"encoding/hex"
	"net"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

var (
	namePattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	routePattern = regexp.MustCompile(`^[A-Z]+ /\S*$`)
)

// ValidName reports whether a text is allowed as a Name.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// valid reports whether the key accepts a value.
func (k Key) valid(value string) bool {
	switch k.Kind {
	case Text, Secret:
		return value != ""
	case Name:
		return ValidName(value)
	case Listen:
		return validListen(value)
	case Address:
		ap, err := netip.ParseAddrPort(value)
		return err == nil && ap.Port() != 0
	case URL:
		u, err := url.Parse(value)
		return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	case Hash:
		b, err := hex.DecodeString(value)
		return err == nil && len(b) == 32 && strings.ToLower(value) == value
	case Duration:
		d, err := time.ParseDuration(value)
		return err == nil && k.inRange(int64(d))
	case Integer:
		n, err := strconv.ParseInt(value, 10, 64)
		return err == nil && k.inRange(n)
	case Ratio:
		x, err := strconv.ParseFloat(value, 64)
		return err == nil && x >= 0 && x <= 1
	case Boolean:
		return value == "true" || value == "false"
	case Choice:
		return slices.Contains(k.Choices, value)
	case Path:
		return strings.HasPrefix(value, "/") && !strings.ContainsAny(value, " \t")
	case Names, Pairs, Labels, Routes:
		return k.validItems(splitList(value))
	}
	return false
}

// validItems reports whether the key accepts each item of a list. Names must not
// repeat.
func (k Key) validItems(items []string) bool {
	seen := map[string]bool{}
	for _, item := range items {
		name, text, found := strings.Cut(item, ":")
		switch k.Kind {
		case Names:
			if !ValidName(item) {
				return false
			}
		case Routes:
			name = item
			if !routePattern.MatchString(item) {
				return false
			}
		case Pairs:
			n, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
			if !found || err != nil || !k.inRange(n) || !ValidName(name) {
				return false
			}
		default:
			if !found || !ValidName(name) {
				return false
			}
		}
		if seen[name] {
			return false
		}
		seen[name] = true
	}
	return true
}

func (k Key) inRange(n int64) bool { return k.Max == 0 || (n >= k.Min && n <= k.Max) }

func validListen(value string) bool {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		return false
	}
	if host != "" {
		if _, err := netip.ParseAddr(host); err != nil {
			return false
		}
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

func splitList(value string) []string {
	var items []string
	for item := range strings.SplitSeq(value, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
