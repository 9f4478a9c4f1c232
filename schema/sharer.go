package schema

//go:generate go tool go-jsonschema --only-models --tags json -p sharer sharer.json -o ../sharer/message_gen.go
