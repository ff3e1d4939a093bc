//! Settings and the two operator tables, checked as a whole.
//!
//! Operators edit two INI files, routes and pools, joined by the pool's name. Both are parsed
//! and checked together; every finding is collected with its file, section, line and remedy and
//! all are reported at once, so that an operator mends a table in one pass. A table with an
//! error is refused and whatever was in force stays.
//!
//! A daemon reads tables that a newer command-line tool wrote. An unknown key is therefore a
//! warning, not an error: the daemon ignores it and keeps the text unchanged. The command-line
//! tool refuses unknown keys before it writes, because there they are most likely typing errors.

mod finding;
mod object;
mod reader;
mod settings;
mod tables;

pub use rattanturn_core::Priority;
pub use {
    finding::{Finding, Findings, Severity},
    object::TablesObject,
    settings::{LogFormat, Settings, SlotPolicy, TierSettings},
    tables::{DataCentre, Pool, Route, RouteKind, Service, Tables, Target, parse_tables},
};
