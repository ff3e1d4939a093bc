//! Small stand-ins for the systems around the query tier, for tests, benches and the
//! demonstration only.
//!
//! They play targets (slots, connections, cold start, shedding, drain, index versions,
//! cancellation) and the platform's object API (outages, slow and ambiguous answers, answers
//! from the past). They count what must never happen: too many calls at once, cold targets given
//! more than they bear, non-idempotent requests run twice.

pub mod gossip;
pub mod operator;
pub mod platform;
pub mod shard;
pub mod target;
