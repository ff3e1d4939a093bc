//! Log analysis of the `rattanturn` command-line tool, as a library.
//!
//! The tool reads log files; tests and other programs call these functions with logs that they
//! collected in memory.

pub mod explain;
mod log_lines;
pub mod report;
