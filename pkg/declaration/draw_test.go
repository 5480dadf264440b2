package declaration_test

import (
	"crypto/sha256"
	"fmt"
	"strings"

	"pgregory.net/rapid"
)

// draw returns random accepted declarations in random order of sections.
func draw(t *rapid.T) string {
	name := rapid.StringMatching(`[A-Za-z0-9][A-Za-z0-9._-]{0,8}`)
	namesOf := func(label string, minimum int) []string {
		return rapid.SliceOfNDistinct(name, minimum, 4, rapid.ID[string]).Draw(t, label)
	}
	number := func(label string, low, high int) int { return rapid.IntRange(low, high).Draw(t, label) }
	some := func(label string, of []string) []string {
		if len(of) == 0 {
			return nil
		}
		return rapid.SliceOfDistinct(rapid.SampledFrom(of), rapid.ID[string]).Draw(t, label)
	}
	var sections []string
	add := func(header string, lines ...string) {
		sections = append(sections, "["+header+"]\n"+strings.Join(lines, "\n")+"\n")
	}
	limits := func() []string {
		cold := number("cold", 1, 100)
		return []string{fmt.Sprintf("cold_limit = %d", cold), fmt.Sprintf("warm_limit = %d", number("warm", cold, 1000))}
	}

	accounts, dcs := namesOf("accounts", 1), namesOf("data centres", 1)
	for _, a := range accounts {
		add("account "+a, fmt.Sprintf("key_sha256 = %x", sha256.Sum256([]byte(a))),
			fmt.Sprintf("weight = %d", number("weight", 1, 1000)), fmt.Sprintf("concurrency = %d", number("concurrency", 0, 9)))
	}
	for _, d := range dcs {
		add("data_centre " + d)
	}
	versions, adapters := namesOf("versions", 1), namesOf("adapters", 0)
	add("model m", "versions = "+strings.Join(versions, ","), "adapters = "+strings.Join(adapters, " , "))
	groups := namesOf("groups", 0)
	for _, g := range groups {
		lines := append(limits(), "model = m", "version = "+rapid.SampledFrom(versions).Draw(t, "version"),
			"adapters = "+strings.Join(some("served", adapters), ","), fmt.Sprintf("members = %d", number("members", 1, 64)),
			"data_centre = "+rapid.SampledFrom(dcs).Draw(t, "data centre"),
			"role = "+rapid.SampledFrom([]string{"serve", "prefill", "decode"}).Draw(t, "role"))
		add("group "+g, lines...)
	}
	for i, s := range namesOf("services", 0) {
		add("service "+s, append(limits(), "once = POST /a, GET /b?c", "lookup = /x/{key}", "labels = owner:a:b, "+s+"x:#;")...)
		add("replica "+s+"/r", fmt.Sprintf("address = 127.0.0.1:%d", i+1), "data_centre = "+dcs[0])
	}
	for _, p := range namesOf("presets", 1) {
		var weights []string
		for _, a := range some("weighted", accounts) {
			weights = append(weights, fmt.Sprintf("%s:%d", a, number("weight", 1, 1000)))
		}
		add("preset "+p, "weights = "+strings.Join(weights, ","), "idle_groups = "+strings.Join(some("idle", groups), ","),
			fmt.Sprintf("queue_time = %dms", number("queue time", 100, 30000)))
	}
	return strings.Join(rapid.Permutation(sections).Draw(t, "order"), "\n")
}
