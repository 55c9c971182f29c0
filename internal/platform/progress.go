package platform

import "context"

type progressKey struct{}

// WithProgress returns a context whose reads and watches of a store call f for each part of a
// large response that has arrived.
func WithProgress(ctx context.Context, f func()) context.Context {
	return context.WithValue(ctx, progressKey{}, f)
}

// NoteProgress calls the function of WithProgress, if the context has one.
func NoteProgress(ctx context.Context) {
	if f, ok := ctx.Value(progressKey{}).(func()); ok {
		f()
	}
}
