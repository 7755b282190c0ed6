// Package conformance holds the table of scenarios that every form of the delivery engine is played against: the
// daemon over RESP2 and HTTP, and the plug-in over gRPC. It has tests only.
package conformance
