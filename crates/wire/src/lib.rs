//! Messages between daemons.
//!
//! The schema is `schema/peer.capnp`; its generated code is committed, so a build needs no
//! schema compiler. To change it: edit the schema, only adding fields, run
//! `capnp compile -orust:src --src-prefix=schema schema/peer.capnp` in this crate's folder with
//! `capnpc-rust` 0.27 on the path, and commit both.
//!
//! Membership and lease messages are small, may be lost and may be repeated, so they travel as
//! datagrams; everything else is RPC.

mod datagram;
#[allow(missing_docs, unsafe_code, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
pub mod peer_capnp;

pub use datagram::{Datagram, decode, encode};
