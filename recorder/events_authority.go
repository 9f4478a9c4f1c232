package recorder

// Events 700 to 799: leases, roles and orders.
const (
	LeaseTaken     Code = 700
	LeaseLost      Code = 701
	OrderIntended  Code = 702
	OrderSent      Code = 703
	OrderConfirmed Code = 704
	OrderFailed    Code = 705
	DrainStarted   Code = 706
	DrainFinished  Code = 707
	OrderInherited Code = 708
	OrderCancelled Code = 709
)

var authorityEvents = map[Code]Entry{
	LeaseTaken:     {"lease-taken", info, "The instance holds a duty.", "None."},
	LeaseLost:      {"lease-lost", warning, "The instance no longer holds a duty.", "See the operators page on a lease that keeps moving."},
	OrderIntended:  {"order-intended", info, "An order was recorded before it is sent.", "None."},
	OrderSent:      {"order-sent", info, "An order was sent.", "None."},
	OrderConfirmed: {"order-confirmed", info, "An order took effect.", "None."},
	OrderFailed:    {"order-failed", warning, "An order failed or was refused.", "See the cause."},
	DrainStarted:   {"drain-started", info, "A target is drained.", "None."},
	DrainFinished:  {"drain-finished", info, "A drained target runs nothing any more.", "None."},
	OrderInherited: {"order-inherited", info, "An order of an earlier epoch is finished or cancelled.", "None."},
	OrderCancelled: {"order-cancelled", info, "An order that had no effect yet was cancelled.", "None."},
}
