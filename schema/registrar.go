package schema

//go:generate go tool go-jsonschema --only-models --tags json -p registrar registrar.json -o ../registrar/entry_gen.go
