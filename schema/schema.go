// Package schema holds the JSON Schemas of settings, declarations and messages,
// from which the types in configurer, declarer and messenger are generated.
package schema

import "embed"

//go:generate go tool go-jsonschema --tags json --disable-omitempty --disable-omitzero --capitalization URL --capitalization KV -p configurer -t settings.json -o ../configurer/settings_gen.go
//go:generate go tool go-jsonschema --tags json --disable-omitempty --disable-omitzero --capitalization URL -p configurer -t entry.json -o ../configurer/entry_gen.go
//go:generate go tool go-jsonschema --tags json --disable-omitempty --disable-omitzero --capitalization URL --capitalization KV -p declarer -t declaration.json -o ../declarer/declaration_gen.go

// Files holds the schema documents by file name.
//
//go:embed *.json
var Files embed.FS
