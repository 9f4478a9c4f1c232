package schema

//go:generate go tool go-jsonschema --only-models --tags json -p meter meter.json -o ../meter/meter_gen.go
