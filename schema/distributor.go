package schema

//go:generate go tool go-jsonschema --only-models --tags json --capitalization ID -p distributor distributor.json -o ../distributor/distributor_gen.go
