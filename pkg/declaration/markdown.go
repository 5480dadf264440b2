package declaration

const intro = `# Declarations

Operators declare client accounts, data centres, models, replica groups, plain services and presets in one INI file that they keep in version control. This page is generated from the table in ` + "`pkg/declaration`" + `; a test compares the two. To update it:

    go test ./pkg/declaration -update

Typical use:

    apricotgrade check declarations.ini    # check syntax and references, without a server
    apricotgrade plan declarations.ini     # show what would change
    apricotgrade apply declarations.ini    # apply the changes and wait until they are in force on all nodes

All errors of a file are reported at once, each with section, key, value and the allowed values. Besides the syntax of each value, these are checked: a group's model, version, adapters and data centre are declared; a replica's service and data centre are declared; a preset's accounts and groups are declared; no section is given twice; no two accounts share a key, and no two replicas share an address; ` + "`cold_limit` is at most `warm_limit`" + `.

Values are literal: comments are on separate lines that start with ` + "`#` or `;`" + `, and values are not quoted. Lists are separated by commas.

Not declared are hosts (the platform lists them), which preset is in force (` + "`apricotgrade preset`" + `) and which data centres and targets are disabled (` + "`apricotgrade out` and `in`" + `). Applying a file does not change these.

Examples: [examples/granite.ini](examples/granite.ini) and [examples/pilbara.ini](examples/pilbara.ini).

`

// Markdown returns the content of docs/declarations.md.
func Markdown() string { return intro + Table.Markdown() }
