package recorder

// Events 600 to 699: configuration and keys.
const (
	GenerationAdopted Code = 600
	GenerationRefused Code = 601
	KeyWithdrawn      Code = 602
)

var configurationEvents = map[Code]Entry{
	GenerationAdopted: {"generation-adopted", info, "A newer configuration is in force at the instance.", "None."},
	GenerationRefused: {"generation-refused", failure, "A configuration was refused: it is older than the one in force, or incomplete.", "Check whether the store was restored from a backup."},
	KeyWithdrawn:      {"key-withdrawn", info, "A key was withdrawn and stopped working at the instance.", "None."},
}
