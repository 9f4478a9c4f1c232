package schema

//go:generate go tool go-jsonschema --only-models --tags json --capitalization URL -p router -t router.json -o ../router/delta_gen.go
