package orderer

// WithoutCheck disables the lease check before a write, to show what it prevents.
func (o Options) WithoutCheck() Options { o.skipCheck = true; return o }

// WithoutIntent disables storing the intents, to show what they prevent.
func (o Options) WithoutIntent() Options { o.skipIntent = true; return o }
