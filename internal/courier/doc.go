// Package courier spreads the calls to endpoints over the processes of the
// fleet. The leader decides alone; couriers carry its orders and lease renewals
// to endpoints and return their replies, many in one message. In a fleet that a
// single process can serve, the leader calls the endpoints itself.
//
// A courier decides nothing and keeps nothing: orders carry the leader's token,
// by which endpoints refuse those of an earlier leader, whichever way they come.
// A courier that is lost, paused or cut off looks to the leader like an endpoint
// that does not answer, until the next order takes another way.
//
// # Usage
//
// On each process:
//
//	server := courier.NewServer(courier.ServerConfig{Endpoints: endpoints})
//	mux.Handle(courierpb.CourierPathPrefix, courierpb.NewCourierServer(server))
//	server.Run(ctx)
//
// On the leader, in place of endpoints:
//
//	client := courier.NewClient(courier.ClientConfig{Direct: endpoints, ...})
//	client.Run(ctx)
//	reply := client.Start(ctx, to, token, start)
package courier
