//! Coordination decisions of a query tier: events and a time go in, actions come out.
//!
//! Nothing in this crate opens a socket, reads a clock or draws from a global random source, so
//! every decision can be embedded in another program, replayed from a recorded trace and
//! explored with generated orders of events. Each module is one duty with its own state:
//!
//! - [`membership`]: which daemons are alive, found by probing peers.
//! - [`lease`]: which daemon may use a group of targets, granted by a majority of a panel.
//! - [`voter_sets`]: which daemons grant leases, changed one voter at a time.
//! - [`versioned`]: the newest accepted version of a shared object.
//! - [`queue`]: slots, cold start and order of calls at one target.
//! - [`selection`]: order in which the targets of a service are tried.
//! - [`gather`]: one query: replicas, hedges, snapshot, coverage and the final answer.
//! - [`hedge`]: when a call is late and whether the budget allows another.
//! - [`admission`]: which requests start under overload.
//! - [`catalog`]: operators' routes and services, joined by name.
//! - [`cold`]: how many requests a cold target gets.
//! - [`health`]: whether a target is down as far as its last calls tell.
//! - [`merge`]: the records of a query's parts.
//! - [`quota`]: a daemon's part of what targets allow to all together.
//! - [`readers`]: which daemons read the store.
//! - [`weighted`]: requests of a route divided among services by weight.
//! - [`discovery`]: which targets there are, from the entries that they write.
//! - [`dedup`]: outcomes of non-idempotent requests by request id.
//! - [`snapshot`]: which index version a query asks for.
//! - [`object_history`]: shared objects and the patches that bring others up to date.
//! - [`addresses`]: which addresses callers should use.

pub mod addresses;
pub mod admission;
pub mod catalog;
pub mod cold;
pub mod dedup;
pub mod discovery;
pub mod gather;
pub mod health;
pub mod hedge;
pub mod lease;
pub mod membership;
pub mod merge;
pub mod object_history;
mod priority;
pub mod queue;
pub mod quota;
pub mod readers;
pub mod rendezvous;
pub mod selection;
pub mod snapshot;
mod time;
pub mod versioned;
pub mod voter_sets;
pub mod weighted;

pub use {priority::Priority, rendezvous::NodeId, time::Time};
