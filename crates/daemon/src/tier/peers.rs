//! Serves the configuration and the targets to other daemons over RPC.
//!
//! Most daemons do not read the store but fetch these objects from a peer that does. So a daemon
//! that the store refuses, or that starts while the store is down, still gets them.

use {
    crate::traffic::rpc::{self, SharedObjects},
    capnp::capability::Rc as ObjectRef,
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side},
    rattanturn_core::discovery::Target,
    rattanturn_wire::peer_capnp::peer,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// Key of the configuration, as JSON in the operators' format.
pub(crate) const CATALOG_KEY: &str = "catalog";
/// Key of the [`TargetsObject`].
pub(crate) const TARGETS_KEY: &str = "fleet";
/// Pause after a failed accept, for example for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The targets, the evacuated data centres and the registered daemons, as a reader has read them.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct TargetsObject {
    /// Names of the evacuated data centres.
    #[serde(rename = "out")]
    pub(crate) evacuated: Vec<String>,
    /// Processor cores of each registered daemon, by its name.
    pub(crate) daemons: BTreeMap<String, f64>,
    pub(crate) targets: Vec<Target>,
}

impl TargetsObject {
    /// Encodes the object as JSON with one line for each target. Peers send patches by lines, so a
    /// change of a few targets stays small.
    pub(crate) fn to_lines(&self) -> serde_json::Result<Vec<u8>> {
        let targets: Result<Vec<String>, _> =
            self.targets.iter().map(serde_json::to_string).collect();
        let (evacuated, targets) = (
            serde_json::to_string(&self.evacuated)?,
            targets?.join(",\n"),
        );
        let daemons = serde_json::to_string(&self.daemons)?;
        let text = format!(
            "{{\"out\":{evacuated},\n\"daemons\":{daemons},\n\"targets\":[\n{targets}\n]}}"
        );
        Ok(text.into_bytes())
    }
}

struct Server(SharedObjects);

impl peer::Server for Server {
    async fn object(
        self: ObjectRef<Self>,
        params: peer::ObjectParams,
        results: peer::ObjectResults,
    ) -> Result<(), capnp::Error> {
        rpc::serve_object(&self.0, &params, results)
    }
}

/// Serves `objects` to peers on `listener` until the thread ends.
pub(crate) async fn serve(
    listener: std::net::TcpListener,
    objects: SharedObjects,
) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            actix_rt::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let client: peer::Client = capnp_rpc::new_client(Server(objects.clone()));
        let network = rpc::vat_network(stream, Side::Server);
        let system = RpcSystem::new(Box::new(network), Some(client.client));
        actix_rt::spawn(async move {
            // An error needs no handling here: the peer connects again for its next fetch.
            let _ = system.await;
        });
    }
}
