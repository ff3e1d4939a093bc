//! A whole deployment in one process, on embedded stand-ins: for the demonstration, the benches
//! and the tests that need the whole path.

pub mod cluster;
pub mod load;
pub mod report;
pub mod tier_cluster;
