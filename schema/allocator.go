package schema

//go:generate go tool go-jsonschema --only-models --tags json -p allocator allocator.json -o ../allocator/message_gen.go
