package schema

//go:generate go tool go-jsonschema --only-models --tags json --disable-omitempty --disable-omitzero -p leaser -t leaser.json -o ../leaser/lease_gen.go
