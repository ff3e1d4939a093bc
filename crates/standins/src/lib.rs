//! Stand-ins for the systems around the daemons, for tests, benches and the demonstration only.
//!
//! They simulate targets (slots, connection limits, cold start, load shedding, draining, index
//! versions, cancellation), the platform's object store (outages, delays, lost answers, stale
//! reads), a network of daemons that gossip, and links with faults. The targets count what daemons must never cause:
//! more calls at once than a target has slots, more calls at once than a cold target allows, and a
//! non-idempotent request that runs twice.
//!
//! Targets and the store run in the process of the test and serve HTTP on loopback, so the daemons
//! under test use their real clients and real time. They implement only the requests that daemons
//! and the command-line tool send. The network of [`gossip`] runs in virtual time instead, so that
//! it can simulate hundreds of daemons.

pub mod calls;
pub mod datagram_links;
pub mod gossip;
pub mod operator;
pub mod platform;
mod port;
pub mod proxy;
pub mod shard;
mod slots;
pub mod target;
