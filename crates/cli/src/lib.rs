//! Parts of the command-line tool that other programs use too.

pub mod explain;
mod log_lines;
pub mod report;
