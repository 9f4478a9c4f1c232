package schema

//go:generate go tool go-jsonschema --only-models --tags json --disable-omitempty --disable-omitzero --capitalization ID -p orderer -t orderer.json -o ../orderer/orders_gen.go
