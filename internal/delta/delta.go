// Package delta encodes a value as its difference to an earlier one, so that a small change
// of a large value is a small message.
package delta

import (
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

const (
	// maxInputBytes bounds the base and the value together, and so the memory of the encoder,
	// which takes up to twice as much for a moment.
	maxInputBytes = 32 << 20
	// minWindowBytes is the smallest window that the encoder takes.
	minWindowBytes = zstd.MinWindowSize
	// dictionaryID marks the base in the encoded text. There is only one.
	dictionaryID = 1
)

// ErrInvalid means that a difference is damaged, or was made to another base.
var ErrInvalid = errors.New("difference cannot be applied")

// Encode returns the difference that leads from a base, which may be empty, to a value. It
// returns nil if both are too large for one.
func Encode(base, value []byte) []byte {
	if len(base)+len(value) > maxInputBytes {
		return nil
	}
	window := minWindowBytes
	for window < len(base)+len(value) {
		window *= 2
	}
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(window), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(true)}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil // the base cannot be used; the value is sent whole
	}
	defer func() { _ = encoder.Close() }() // it writes nowhere
	return encoder.EncodeAll(value, nil)
}

// Decode returns the value to which a difference leads from its base. It fails with
// ErrInvalid if the difference does not apply or the value exceeds maxBytes.
func Decode(base, difference []byte, maxBytes int) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(maxBytes))}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.CombineErrors(ErrInvalid, err)
	}
	defer decoder.Close()
	value, err := decoder.DecodeAll(difference, nil)
	if err != nil {
		return nil, errors.CombineErrors(ErrInvalid, err)
	}
	return value, nil
}
