//! Coordination decisions of a query tier: events and the time go in, actions come out.
//!
//! A query tier is a group of daemons between callers and back ends. A caller sends an HTTP request
//! to any daemon, which calls one or more *targets* (the back ends) and returns the answer. The
//! targets of one *service* are replicas of each other; in a fan-out query each service holds one
//! shard of an index.
//!
//! Nothing in this crate opens a socket, reads a clock or uses a global random source. So every
//! decision can be embedded in another program, replayed from a recorded trace and tested with
//! generated orders of events. Each module covers one duty and keeps its own state.
//!
//! Configuration and targets:
//!
//! - [`accounts`]: the accounts of callers and their keys.
//! - [`catalog`]: the operators' routes and services, one version of the whole configuration.
//! - [`discovery`]: which targets exist, from the entries that they write into a store.
//! - [`unusable_entries`]: which entries that cannot be used are logged.
//! - [`health`]: whether a target is down, judged by its last calls.
//! - [`silence`]: notices early that no target answers any more.
//! - [`reach`]: whether a daemon has lost most targets.
//! - [`relay`]: which peers run the requests of a daemon that has lost its targets.
//!
//! The path of a request:
//!
//! - [`addresses`]: which daemons callers are directed to.
//! - [`admission`]: which requests start, wait or are refused under overload.
//! - [`allowance`]: which requests of an account run, of those at all daemons together.
//! - [`fair_queue`]: which requests of which accounts start, wait or are refused while targets have
//!   too little capacity.
//! - [`weighted`]: divides the requests of a route among services by weight.
//! - [`rollout`]: which versions of a service's targets get its requests while a new one is rolled out.
//! - [`selection`]: the order in which the targets of a service are tried.
//! - [`quarantine`]: which requests are refused because targets end when they run them.
//! - [`gather`]: one fan-out query, from the first calls to the final answer, with retries, hedges
//!   and partial answers.
//! - [`hedge`]: when a call counts as slow, and whether the budget allows an extra call.
//! - [`fingerprint`]: what identifies a request that comes again.
//! - [`snapshot`]: which index version a query asks all shards for.
//! - [`answer_sizes`]: how much memory a call needs for its answer.
//! - [`byte_budget`]: whose answers and request bodies have room in memory.
//! - [`merge`]: merges the records of the shards into the top records of the answer.
//! - [`moving_average`]: averages of which the first value is not a large part for long.
//! - [`queue`]: the queue of calls to one target, which keeps its concurrency limit.
//!
//! Sharing the targets' capacity among daemons:
//!
//! - [`quota`]: the part of each target's connections that this daemon may use.
//! - [`permits`]: which call gets a free connection.
//! - [`call_times`]: how long calls to a target take, and until when a waiting one is sent.
//! - [`cold`]: how many requests this daemon sends to a target that still warms up.
//! - [`rate_share`]: when this daemon may send a request to a target that limits its rate.
//! - [`lease`]: which daemon may use a unit, such as a group of targets, right now; granted by a
//!   majority of voters.
//! - [`voter_sets`]: which daemons vote on leases, and how these sets change safely.
//! - [`dedup`]: outcomes of non-idempotent requests by request id, so that a retry does not run the
//!   request again.
//! - [`partitions`]: the tables of such outcomes, as they move from one owner to the next.
//!
//! Daemons among themselves:
//!
//! - [`membership`]: which daemons are alive, found by a SWIM-style failure detector.
//! - [`rendezvous`]: rendezvous hashing, by which daemons that know the same members make the same
//!   choice.
//! - [`shutdown`]: when a stopping daemon closes, answers and ends.
//! - [`readers`]: which daemons read the store; the others receive what these have read.
//! - [`watch_position`]: where a watch of the store continues, also after the store lost changes.
//! - [`dissemination`]: to whom a reader announces what it has read.
//! - [`buckets`]: digests by which two daemons find out in which targets they differ.
//! - [`versioned`]: the newest accepted version of a shared object.
//! - [`object_history`]: recent versions of shared objects, and patches between them.
//! - [`connection_budget`]: which connections are closed when short exchanges need too much memory.

pub mod accounts;
pub mod addresses;
pub mod admission;
pub mod allowance;
mod alternate;
pub mod answer_sizes;
pub mod buckets;
pub mod byte_budget;
pub mod call_times;
pub mod catalog;
pub mod cold;
pub mod connection_budget;
pub mod dedup;
pub mod discovery;
pub mod dissemination;
pub mod evacuations;
pub mod fair_queue;
pub mod fingerprint;
pub mod gather;
pub mod health;
pub mod hedge;
pub mod lease;
pub mod line_limit;
pub mod line_patch;
pub mod membership;
pub mod merge;
pub mod moving_average;
pub mod object_history;
pub mod partitions;
pub mod permits;
mod priority;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod rate_share;
pub mod reach;
pub mod readers;
pub mod relay;
pub mod rendezvous;
pub mod rollout;
pub mod selection;
pub mod shutdown;
pub mod silence;
pub mod snapshot;
mod time;
pub mod transfers;
pub mod unusable_entries;
pub mod versioned;
pub mod voter_sets;
pub mod watch_position;
pub mod weighted;

pub use {priority::Priority, rendezvous::NodeId, time::Time};
