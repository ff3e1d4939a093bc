//! Parsing and checking of a daemon's settings and of the operators' tables.
//!
//! The tables are two INI files, `routes.ini` and `pools.ini`; a route refers to a pool by its
//! name. They are checked together, and every finding is reported at once with its file, line,
//! section and remedy, so that an operator can fix a table in one pass. Tables with an error are
//! rejected and the current ones stay in use.
//!
//! A daemon may have to read tables that a newer command-line tool wrote. For a daemon, an unknown
//! key is therefore only a warning: it ignores the key and keeps the text unchanged. The
//! command-line tool rejects unknown keys before it writes, because there they are most likely
//! typing errors.

mod finding;
mod object;
mod reader;
mod settings;
mod tables;

pub use rattanturn_core::Priority;
pub use {
    finding::{Finding, Findings, Severity},
    object::TablesObject,
    settings::{LogFormat, QuotaSettings, Settings, SlotPolicy, TierSettings},
    tables::{DataCentre, Pool, Route, RouteKind, Service, Tables, Target, parse_tables},
};
