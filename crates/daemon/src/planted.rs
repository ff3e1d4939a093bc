//! Faults that are planted to test that the soak finds them.
//!
//! They exist only in builds with the feature `planted-faults`, which no other build has, and only
//! the one that the environment variable `RATTANTURN_PLANTED` names is active.

use {
    actix_http::Request,
    rattanturn_core::accounts::{Account, Credential, Denial},
    std::{cell::RefCell, collections::HashMap, net::SocketAddr, sync::Arc},
    tokio::net::TcpStream,
};

/// Each daemon grants the whole limit of each account.
pub(crate) const WHOLE_LIMIT: &str = "whole-limit";
/// A revoked key stays valid on connections on which it was accepted.
pub(crate) const KEPT_KEYS: &str = "kept-keys";
/// A daemon judges a version by its own evidence only.
pub(crate) const OWN_VERDICT: &str = "own-verdict";

/// Whether a fault is planted.
pub(crate) fn is_planted(name: &str) -> bool {
    cfg!(feature = "planted-faults")
        && std::env::var("RATTANTURN_PLANTED").is_ok_and(|active| active == name)
}

/// Notes the caller's address in a request, for [`KEPT_KEYS`]; nothing else uses it.
pub(crate) fn note_peer(request: &mut Request, stream: &TcpStream) {
    if is_planted(KEPT_KEYS) {
        request.head_mut().peer_addr = stream.peer_addr().ok();
    }
}

type Kept = HashMap<(SocketAddr, Vec<u8>), Arc<Account>>;

/// Keys that were accepted on each connection, for [`KEPT_KEYS`].
#[derive(Default)]
pub(crate) struct KeptKeys(RefCell<Kept>);

impl KeptKeys {
    /// The result of the check of a key, unless the fault is planted and the key was accepted before
    /// on the connection from `peer`.
    pub(crate) fn admit(
        &self,
        peer: Option<SocketAddr>,
        key: Credential<'_>,
        found: Result<Option<Arc<Account>>, Denial>,
    ) -> Result<Option<Arc<Account>>, Denial> {
        let (true, Some(peer), Credential::Key(key)) = (is_planted(KEPT_KEYS), peer, key) else {
            return found;
        };
        let mut kept = self.0.borrow_mut();
        let id = (peer, key.to_vec());
        if let Ok(Some(account)) = &found {
            kept.insert(id, account.clone());
            return found;
        }
        kept.get(&id).map_or(found, |a| Ok(Some(a.clone())))
    }
}
