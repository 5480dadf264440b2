package declaration_test

import (
	"crypto/sha256"
	"fmt"
	"strings"

	"pgregory.net/rapid"
)

// drawDeclarations returns random valid declarations with the sections in random
// order.
func drawDeclarations(t *rapid.T) string {
	name := rapid.StringMatching(`[A-Za-z0-9][A-Za-z0-9._-]{0,8}`)
	distinctNames := func(label string, minimum int) []string {
		return rapid.SliceOfNDistinct(name, minimum, 4, rapid.ID[string]).Draw(t, label)
	}
	drawInt := func(label string, low, high int) int { return rapid.IntRange(low, high).Draw(t, label) }
	drawSubset := func(label string, items []string) []string {
		if len(items) == 0 {
			return nil
		}
		return rapid.SliceOfDistinct(rapid.SampledFrom(items), rapid.ID[string]).Draw(t, label)
	}
	var sections []string
	addSection := func(header string, lines ...string) {
		sections = append(sections, "["+header+"]\n"+strings.Join(lines, "\n")+"\n")
	}
	limitLines := func() []string {
		cold := drawInt("cold", 1, 100)
		return []string{fmt.Sprintf("cold_limit = %d", cold), fmt.Sprintf("warm_limit = %d", drawInt("warm", cold, 1000))}
	}

	accounts, dataCentres := distinctNames("accounts", 1), distinctNames("data centres", 1)
	for _, a := range accounts {
		addSection("account "+a, fmt.Sprintf("key_sha256 = %x", sha256.Sum256([]byte(a))),
			fmt.Sprintf("weight = %d", drawInt("weight", 1, 1000)), fmt.Sprintf("concurrency = %d", drawInt("concurrency", 0, 9)))
	}
	for _, d := range dataCentres {
		addSection("data_centre " + d)
	}
	versions, adapters := distinctNames("versions", 1), distinctNames("adapters", 0)
	addSection("model m", "versions = "+strings.Join(versions, ","), "adapters = "+strings.Join(adapters, " , "))
	groups := distinctNames("groups", 0)
	for _, g := range groups {
		lines := append(limitLines(), "model = m", "version = "+rapid.SampledFrom(versions).Draw(t, "version"),
			"adapters = "+strings.Join(drawSubset("served", adapters), ","), fmt.Sprintf("members = %d", drawInt("members", 1, 64)),
			"data_centre = "+rapid.SampledFrom(dataCentres).Draw(t, "data centre"),
			"role = "+rapid.SampledFrom([]string{"serve", "prefill", "decode"}).Draw(t, "role"))
		addSection("group "+g, lines...)
	}
	for i, s := range distinctNames("services", 0) {
		addSection("service "+s, append(limitLines(), "once = POST /a, GET /b?c", "lookup = /x/{key}", "labels = owner:a:b, "+s+"x:#;")...)
		addSection("replica "+s+"/r", fmt.Sprintf("address = 127.0.0.1:%d", i+1), "data_centre = "+dataCentres[0])
	}
	for _, p := range distinctNames("presets", 1) {
		var weights []string
		for _, a := range drawSubset("weighted", accounts) {
			weights = append(weights, fmt.Sprintf("%s:%d", a, drawInt("weight", 1, 1000)))
		}
		addSection("preset "+p, "weights = "+strings.Join(weights, ","), "idle_groups = "+strings.Join(drawSubset("idle", groups), ","),
			fmt.Sprintf("queue_time = %dms", drawInt("queue time", 100, 30000)))
	}
	return strings.Join(rapid.Permutation(sections).Draw(t, "order"), "\n")
}
