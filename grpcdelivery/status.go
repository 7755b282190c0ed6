package grpcdelivery

import (
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/mem"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/protoadapt"
)

// own makes a status of the plug-in's own.
func own(code codes.Code, reason, id, text string, more ...protoadapt.MessageV1) error {
	st := status.New(code, "grpcdelivery: "+text)
	details := append([]protoadapt.MessageV1{
		&errdetails.ErrorInfo{Domain: Domain, Reason: reason, Metadata: map[string]string{"id": id}},
	}, more...)
	if with, err := st.WithDetails(details...); err == nil {
		st = with
	}
	return st.Err()
}

func bufferSlice(b []byte) mem.BufferSlice { return mem.BufferSlice{mem.SliceBuffer(b)} }
