package schema

//go:generate go tool go-jsonschema --only-models --tags json --disable-omitempty --disable-omitzero -p limiter -t limiter.json -o ../limiter/limiter_gen.go
