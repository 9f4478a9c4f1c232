package orderer

// WithoutCheck switches the last-moment check off, to show what it prevents.
func (o Options) WithoutCheck() Options { o.skipCheck = true; return o }

// WithoutIntent switches the stored intents off, to show what they prevent.
func (o Options) WithoutIntent() Options { o.skipIntent = true; return o }
