//! Serves the configuration and the targets to other daemons over RPC.
//!
//! Most daemons do not read the store but fetch these objects from a peer that does. So a daemon
//! that the store refuses, or that starts while the store is down, still gets them. The
//! configuration is passed on as a line-based patch where possible, the targets by buckets, see
//! [`rattanturn_core::buckets`].

use {
    crate::{
        clock,
        control::objects,
        supervise::restarted,
        traffic::rpc::{self, SharedObjects},
    },
    capnp::capability::Rc as ObjectRef,
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side},
    rattanturn_core::{
        discovery::{ExpiryNotice, RemovedTarget, Target},
        rendezvous,
        transfers::{TransferKey, Transfers},
        watch_position::WatchPosition,
    },
    rattanturn_http::{ConnectionLimit, LimitedConnection},
    rattanturn_platform::Object,
    rattanturn_wire::{
        items::{Items, Values},
        peer_capnp::peer,
    },
    serde::{Deserialize, Serialize},
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::sync::{mpsc::UnboundedSender, oneshot},
};

/// Key of the configuration, as JSON in the operators' format.
pub(crate) const CATALOG_KEY: &str = "catalog";
/// Key of the targets.
pub(crate) const TARGETS_KEY: &str = "fleet";
/// Pause after a failed accept, for example for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The parts of the targets, the evacuated data centres and the registered daemons that a peer
/// lacks.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct TargetsUpdate {
    /// Names of the evacuated data centres.
    #[serde(rename = "out")]
    pub(crate) evacuated: Items<String>,
    /// The store's position up to which `evacuated` was read, see
    /// [`rattanturn_core::evacuations::Evacuations`]; `None` from a daemon of an older build.
    #[serde(rename = "outRead", default, skip_serializing_if = "Option::is_none")]
    pub(crate) evacuations_read: Option<WatchPosition>,
    /// Processor cores of each registered daemon, by its name; `None` if the peer knows them.
    pub(crate) daemons: Option<Values<f64>>,
    /// Indexes of the buckets that the update replaces; `None` replaces all targets. A daemon of the
    /// previous version ignores it and gets only whole updates.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) buckets: Option<Vec<usize>>,
    /// All targets of these buckets.
    pub(crate) targets: Items<Target>,
    /// What the daemon says of expired entries, while it waits for them; a daemon of an older build
    /// ignores it.
    #[serde(rename = "settling", default, skip_serializing_if = "Option::is_none")]
    pub(crate) expiry: Option<PeerExpiryNotice>,
    /// Orders for roll-outs with their status, as in the store; `None` from a daemon of an older
    /// build, or one whose settings name no limits for them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) rollouts: Option<Items<Object>>,
}

/// A [`ExpiryNotice`] as it is sent.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct PeerExpiryNotice {
    left: Duration,
    outage: bool,
    #[serde(default, skip_serializing_if = "is_empty")]
    pub(crate) removed: Items<RemovedTarget>,
}

impl From<ExpiryNotice> for PeerExpiryNotice {
    fn from(expiry: ExpiryNotice) -> Self {
        Self {
            left: expiry.left,
            outage: expiry.outage,
            removed: expiry.removed.into(),
        }
    }
}

impl From<PeerExpiryNotice> for ExpiryNotice {
    fn from(sent: PeerExpiryNotice) -> Self {
        Self {
            left: sent.left,
            outage: sent.outage,
            removed: sent.removed.readable,
        }
    }
}

fn is_empty(items: &Items<RemovedTarget>) -> bool {
    items.readable.is_empty()
}

impl TargetsUpdate {
    /// Encodes the update as JSON.
    pub(crate) fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_else(|error| {
            tracing::error!(%error, "cannot encode the targets for peers");
            Vec::new()
        })
    }
}

/// An encoded [`TargetsUpdate`].
#[derive(Clone, Debug)]
pub(crate) struct TargetsReply {
    /// Revision that the update leads to.
    pub(crate) revision: u64,
    pub(crate) body: Vec<u8>,
}

/// A message about targets to the control loop.
pub(crate) enum TargetsEvent {
    /// A peer requests what it lacks.
    Requested(TargetsRequest),
    /// A peer sent what this daemon lacks.
    Fetched(TargetsReply),
    /// Fetching from a peer failed.
    FetchFailed,
}

/// A peer's request for the targets that it lacks.
pub(crate) struct TargetsRequest {
    /// Digests of its buckets; empty if it knows nothing.
    pub(crate) digests: Vec<u64>,
    /// Digest of the daemons that it knows as registered.
    pub(crate) daemons: u64,
    pub(crate) reply: oneshot::Sender<TargetsReply>,
}

struct Server {
    objects: SharedObjects,
    targets: UnboundedSender<TargetsEvent>,
    connection: Rc<LimitedConnection>,
    /// The transfers of all connections, and those of this one.
    transfers: Rc<RefCell<Transfers>>,
    own_transfers: RefCell<Vec<TransferKey>>,
}

impl Drop for Server {
    /// The peer closes the connection once it has what it asked for.
    fn drop(&mut self) {
        let mut transfers = self.transfers.borrow_mut();
        for transfer in self.own_transfers.take() {
            transfers.end(transfer);
        }
    }
}

impl Server {
    /// Whether an object of `bytes` may be sent now.
    fn begin_transfer(&self, bytes: usize) -> bool {
        let transfer = self.transfers.borrow_mut().begin(clock::now(), bytes);
        self.own_transfers.borrow_mut().extend(transfer);
        transfer.is_some()
    }

    /// Counts the reply to a call, which the peer may never read, and what the library keeps of the call.
    fn count_reply(&self, bytes: usize) {
        self.connection.add(CALL_BYTES + bytes);
    }

    /// Asks control for the targets that a peer lacks.
    async fn request_targets(
        &self,
        digests: Vec<u64>,
        daemons: u64,
    ) -> Result<TargetsReply, capnp::Error> {
        let (reply, receive) = oneshot::channel();
        let request = TargetsRequest {
            digests,
            daemons,
            reply,
        };
        let ended = || capnp::Error::failed("control has ended".into());
        let sent = self.targets.send(TargetsEvent::Requested(request));
        sent.map_err(|_| ended())?;
        receive.await.map_err(|_| ended())
    }
}

impl peer::Server for Server {
    /// Daemons of the previous version request the targets here as well, as a whole.
    async fn object(
        self: ObjectRef<Self>,
        params: peer::ObjectParams,
        mut results: peer::ObjectResults,
    ) -> Result<(), capnp::Error> {
        let request = params.get()?;
        if request.get_key()?.to_str()? != TARGETS_KEY {
            let Some(update) = rpc::find_update(&self.objects, &params)? else {
                return Ok(());
            };
            if self.begin_transfer(update.data.len()) {
                self.count_reply(update.data.len());
                rpc::send_update(&update, &mut results);
            } else {
                metrics::counter!("rattanturn_object_fetches_refused_total").increment(1);
                objects::refuse_fetch(&update, &mut results);
            }
            return Ok(());
        }
        let reply = self.request_targets(Vec::new(), 0).await?;
        self.count_reply(reply.body.len());
        if reply.revision > request.get_known() {
            let mut out = results.get();
            out.set_version(reply.revision);
            out.set_digest(rendezvous::digest(&reply.body));
            out.set_body(&reply.body);
        }
        Ok(())
    }

    async fn targets(
        self: ObjectRef<Self>,
        params: peer::TargetsParams,
        mut results: peer::TargetsResults,
    ) -> Result<(), capnp::Error> {
        let request = params.get()?;
        let digests = request.get_digests()?.iter().collect();
        let reply = self.request_targets(digests, request.get_daemons()).await?;
        self.count_reply(reply.body.len());
        let mut out = results.get();
        out.set_revision(reply.revision);
        out.set_body(&reply.body);
        Ok(())
    }
}

/// Largest request of a peer, in bytes. It names an object, or the digests of all buckets of targets, which
/// take 1 KiB.
const MAX_REQUEST_BYTES: usize = 8 << 10;
/// Memory of a call without its reply, in bytes.
const CALL_BYTES: usize = 1 << 10;

/// What this daemon has, for a request to a peer.
pub(crate) struct KnownTargets {
    pub(crate) revision: u64,
    pub(crate) digests: Vec<u64>,
    pub(crate) daemons: u64,
}

/// Fetches the targets that this daemon lacks from a peer, and reports the result to control.
pub(crate) async fn fetch_targets(
    from: SocketAddr,
    known: KnownTargets,
    events: UnboundedSender<TargetsEvent>,
) {
    let revision = known.revision;
    let update = request_update(from, &known);
    let event = match objects::observe_fetch(from, TARGETS_KEY, revision, update).await {
        Ok(reply) => TargetsEvent::Fetched(reply),
        Err(_) => TargetsEvent::FetchFailed,
    };
    // Sending fails only if the control thread has ended.
    let _ = events.send(event);
}

/// Requests the targets that this daemon lacks.
///
/// # Errors
///
/// The peer cannot be reached, or its revision is not newer than the known one.
async fn request_update(from: SocketAddr, known: &KnownTargets) -> eyre::Result<TargetsReply> {
    let reply = rpc::call_once(from, async |client| {
        let mut request = client.targets_request();
        request.get().set_digests(&known.digests[..])?;
        request.get().set_daemons(known.daemons);
        match request.send().promise.await {
            Ok(response) => {
                let message = response.get()?;
                Ok(TargetsReply {
                    revision: message.get_revision(),
                    body: message.get_body()?.to_vec(),
                })
            }
            Err(error) if error.kind == capnp::ErrorKind::Unimplemented => {
                request_whole(client).await
            }
            Err(error) => Err(error.into()),
        }
    });
    let reply = reply.await?;
    metrics::counter!("rattanturn_object_fetched_bytes_total", "key" => TARGETS_KEY)
        .increment(reply.body.len() as u64);
    eyre::ensure!(
        reply.revision > known.revision,
        "the peer has no newer revision"
    );
    Ok(reply)
}

/// Requests all targets from a daemon of the previous version.
async fn request_whole(client: &peer::Client) -> eyre::Result<TargetsReply> {
    let mut request = client.object_request();
    request.get().set_key(TARGETS_KEY);
    let response = request.send().promise.await?;
    let message = response.get()?;
    Ok(TargetsReply {
        revision: message.get_version(),
        body: message.get_body()?.to_vec(),
    })
}

/// Serves `objects` to peers on `listener` of a VM with `memory` bytes until the thread ends.
pub(crate) async fn serve(
    listener: std::net::TcpListener,
    memory: u64,
    objects: SharedObjects,
    targets: UnboundedSender<TargetsEvent>,
) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let limit = ConnectionLimit::new(memory);
    let transfers = Rc::new(RefCell::new(Transfers::new(objects::FETCH_TIMEOUT)));
    restarted("peers' connections", || {
        accept(&listener, &limit, &transfers, (&objects, &targets))
    })
    .await
}

async fn accept(
    listener: &tokio::net::TcpListener,
    limit: &ConnectionLimit,
    transfers: &Rc<RefCell<Transfers>>,
    (objects, targets): (&SharedObjects, &UnboundedSender<TargetsEvent>),
) -> ! {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            actix_rt::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let connection = Rc::new(limit.open());
        let server = Server {
            objects: objects.clone(),
            targets: targets.clone(),
            connection: connection.clone(),
            transfers: transfers.clone(),
            own_transfers: RefCell::default(),
        };
        let client: peer::Client = capnp_rpc::new_client(server);
        let network = rpc::vat_network(stream, Side::Server, MAX_REQUEST_BYTES);
        let system = RpcSystem::new(Box::new(network), Some(client.client));
        actix_rt::spawn(async move {
            // An error needs no handling here: the peer connects again for its next fetch.
            connection.run(system).await;
        });
    }
}
