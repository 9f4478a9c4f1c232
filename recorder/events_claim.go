package recorder

// Events 500 to 599: claims of idempotency keys.
const (
	ClaimGranted   Code = 500
	ClaimRepeated  Code = 501
	RangeTaken     Code = 502
	RangeLost      Code = 503
	ClaimUnsettled Code = 504
)

var claimEvents = map[Code]Entry{
	ClaimGranted:   {"claim-granted", debug, "A claim was granted and copied.", "None."},
	ClaimRepeated:  {"claim-repeated", info, "A repeated idempotency key was answered from its claim.", "None."},
	RangeTaken:     {"range-taken", info, "The instance became owner or copy of a claim range.", "None."},
	RangeLost:      {"range-amnesic", failure, "Owner and copy of a claim range were lost; unknown keys are answered as unknown for the retention time.", "See the operators page on lost claims."},
	ClaimUnsettled: {"claim-unsettled", warning, "The outcome of a claimed request could not be stored; repeats of its key are answered as unknown.", "Check the instances that own and copy claims."},
}
