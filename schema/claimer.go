package schema

//go:generate go tool go-jsonschema --only-models --tags json --capitalization ID -p claimer -t claimer.json -o ../claimer/message_gen.go
