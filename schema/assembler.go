package schema

//go:generate go tool go-jsonschema --only-models --tags json -p assembler assembler.json -o ../assembler/contact_gen.go
