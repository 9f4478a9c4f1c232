package schema

//go:generate go tool go-jsonschema --only-models --tags json --capitalization URL -p quarantiner -t quarantiner.json -o ../quarantiner/strike_gen.go
