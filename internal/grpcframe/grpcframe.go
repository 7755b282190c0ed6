// Package grpcframe passes gRPC messages on as they are encoded.
package grpcframe

import (
	"fmt"

	"google.golang.org/grpc/mem"
)

// Frame is a message that was encoded before, or is decoded later.
type Frame []byte

// Codec is an encoding.CodecV2 of frames. It has the name of the codec that makes them.
type Codec struct{}

// Name is that of the codec of generated stubs.
func (Codec) Name() string { return "proto" }

// Marshal takes a Frame.
func (Codec) Marshal(v any) (mem.BufferSlice, error) {
	f, ok := v.(Frame)
	if !ok {
		return nil, fmt.Errorf("grpcframe: %T is no frame", v)
	}
	return mem.BufferSlice{mem.SliceBuffer(f)}, nil
}

// Unmarshal fills a *Frame with a copy.
func (Codec) Unmarshal(data mem.BufferSlice, v any) error {
	f, ok := v.(*Frame)
	if !ok {
		return fmt.Errorf("grpcframe: %T is no frame", v)
	}
	*f = data.Materialize()
	return nil
}
