// Package delivery is the engine of a delivery node. It takes messages on, keeps them in a journal, lets package
// choice decide when, where and whether each is sent, has carriers make the attempts, and sees every message to its
// one final answer, across deaths of its process.
//
// The engine knows no protocol. Round it stand fronts: each hands messages in, brings the Carrier that makes their
// attempts, and the Sink that takes the ends that nobody waits for. Where the endpoints are is told by a Membership.
//
// # What holds at every instant
//
//   - One goroutine, in Run, owns the module and all state of messages. It alone writes the journal.
//   - What an action promises is written first: a message before it is said to be taken on, an attempt before its
//     first byte, a final answer before anyone hears of it.
//   - An attempt of which the journal knows no outcome may have run.
//   - A state folder has one engine at most, and so has an endpoint within one process. See ErrInUse and
//     ErrPartnersTaken.
package delivery
