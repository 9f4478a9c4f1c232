package schema

//go:generate go tool go-jsonschema --only-models --tags json -p authenticator authenticator.json -o ../authenticator/authenticator_gen.go
