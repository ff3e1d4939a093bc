//! Messages between daemons, in Cap'n Proto.
//!
//! The schema is `schema/peer.capnp`. The code generated from it is committed, so that a build
//! needs no schema compiler. To change the schema: add fields (never change or remove one), run
//! `capnp compile -orust:src --src-prefix=schema schema/peer.capnp` in this crate's folder with
//! `capnpc-rust` 0.27 on the path, and commit both.
//!
//! Membership and lease messages are small and tolerate loss and duplication, so they are sent as
//! UDP datagrams. Everything else uses RPC over TCP.

mod datagram;
pub mod items;
#[allow(missing_docs, unsafe_code, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
pub mod peer_capnp;

pub use datagram::{Datagram, MAX_ROLLOUT_BYTES, decode, encode};
