//! Parts of the command-line tool that other programs use too.

pub mod explain;
mod lines;
pub mod report;
