package schema

//go:generate go tool go-jsonschema --only-models --tags json --disable-omitempty --disable-omitzero -p scheduler -t scheduler.json -o ../scheduler/scheduler_gen.go
