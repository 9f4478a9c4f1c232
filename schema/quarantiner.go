package schema

//go:generate go tool go-jsonschema --only-models --tags json --capitalization URL -p quarantiner -t quarantiner.json -o ../quarantiner/strike_gen.go
//go:generate go tool go-jsonschema --only-models --tags json -p quarantiner evidence.json -o ../quarantiner/evidence_gen.go
