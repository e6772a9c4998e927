//! Tests of the request side over loopback, with small fakes of backend servers and callers.

#[path = "proxy/abuse.rs"]
mod abuse;
#[path = "proxy/drain.rs"]
mod drain;
#[path = "proxy/fixture.rs"]
mod fixture;
#[path = "proxy/forward.rs"]
mod forward;
#[path = "proxy/keyed.rs"]
mod keyed;
#[path = "proxy/tries.rs"]
mod tries;
