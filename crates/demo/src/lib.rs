//! Runs a complete deployment in one process: real daemons, and embedded stand-ins for targets and
//! for the platform. The demonstration, the benches and the end-to-end tests share it.

pub mod cluster;
pub mod load;
pub mod report;
pub mod tier_cluster;
