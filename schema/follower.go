package schema

//go:generate go tool go-jsonschema --only-models --tags json -p follower follower.json -o ../follower/news_gen.go
