package schema

//go:generate go tool go-jsonschema --only-models --tags json --capitalization URL -p gossiper -t gossiper.json -o ../gossiper/message_gen.go
