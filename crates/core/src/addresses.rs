//! Which daemons callers are directed to.
//!
//! A caller may use an answer for [`ANSWER_TTL`]. A daemon that leaves is omitted from new answers
//! at once, and keeps accepting requests until every answer that contained it has expired.
//!
//! While no daemon stays, as when all of a deployment are stopped within seconds, those are named that
//! leave but have not closed their listeners. A caller that gets no address fails, while such a daemon
//! still serves it, or refuses at once, so that the caller tries the next one.

use {
    crate::{NodeId, Time, alternate::alternate_centres, rendezvous},
    std::{collections::BTreeSet, net::SocketAddr, time::Duration},
};

/// How long a caller may use an answer before it asks again.
pub const ANSWER_TTL: Duration = Duration::from_secs(5);
/// Maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 4;
/// Number of these that are in other data centres, if so many accept callers there. A caller keeps an
/// answer for seconds; if all its addresses were in one data centre, it would be cut off for that
/// time when the data centre is lost.
const MIN_ELSEWHERE: usize = 2;

/// How long a caller may use an answer that names daemons that leave. It is short because others
/// may start at any moment.
pub const LEAVING_ANSWER_TTL: Duration = Duration::from_secs(1);

/// A daemon that callers may be directed to.
#[derive(Clone, Debug, PartialEq)]
pub struct Frontend {
    /// Identity of the daemon.
    pub id: NodeId,
    /// HTTP address for callers.
    pub addr: SocketAddr,
    /// Data centre that the daemon runs in.
    pub centre: String,
    /// Whether the daemon may be advertised; false for example while it leaves or while its data
    /// centre is evacuated.
    pub accepting: bool,
    /// Whether the daemon does not answer probes, so that it may be dead.
    pub suspect: bool,
    /// When the daemon closes its listeners, if it leaves.
    pub closes_at: Option<Time>,
    /// Capacity in any unit that all daemons share, for example processor cores; 0 if unknown.
    pub capacity: f64,
}

/// Share of the largest capacity below which a daemon is advertised only if there are fewer than
/// [`MIN_ADVERTISED`] larger ones.
pub(crate) const MIN_CAPACITY: f64 = 0.5;
/// Minimum number of advertised daemons, so that callers have another one if one fails.
const MIN_ADVERTISED: usize = 2;

/// Returns the daemons that callers are directed to: the accepting ones with a large capacity, and
/// at least two where that many accept.
///
/// A query over many shards needs processor time, which makes it slow on a small VM. Fewer daemons
/// also need fewer connections to each target, and each of them bases its latency estimate of a
/// target on more calls.
#[must_use]
pub fn advertised(frontends: &[Frontend]) -> Vec<&Frontend> {
    largest(frontends.iter().filter(|f| f.accepting).collect())
}

/// Those with a large capacity, and at least two of them.
fn largest(mut frontends: Vec<&Frontend>) -> Vec<&Frontend> {
    frontends.sort_by(|a, b| b.capacity.total_cmp(&a.capacity));
    let largest = frontends.first().map_or(0.0, |f| f.capacity);
    let large = frontends
        .iter()
        .filter(|f| f.capacity >= largest * MIN_CAPACITY)
        .count();
    frontends.truncate(large.max(MIN_ADVERTISED));
    frontends
}

/// The daemons that an answer may name: the advertised ones or, while none of them is known to be
/// alive, those that leave and have not closed their listeners yet.
fn candidates(frontends: &[Frontend], now: Time) -> Vec<&Frontend> {
    let advertised = advertised(frontends);
    if advertised.iter().any(|f| !f.suspect) {
        return advertised;
    }
    let takes = |f: &&Frontend| f.closes_at.is_some_and(|at| now < at);
    let leaving: Vec<&Frontend> = frontends.iter().filter(takes).collect();
    if leaving.is_empty() {
        advertised
    } else {
        largest(leaving)
    }
}

/// Addresses for a caller, and for how long it may use them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// At most four, in the order in which they should be tried.
    pub addrs: Vec<SocketAddr>,
    /// Time for which they may be used, if the deployment does not ask for a shorter one.
    pub ttl: Duration,
}

/// Returns the daemons whose death should be found soon, because callers are directed to them: none
/// if that is every second daemon or more, where preferring them gains nothing.
#[must_use]
pub fn watched(frontends: &[Frontend]) -> BTreeSet<NodeId> {
    let all: Vec<Frontend> = frontends
        .iter()
        .map(|f| Frontend {
            accepting: true,
            ..f.clone()
        })
        .collect();
    let large = advertised(&all);
    if large.len() * 2 > all.len() {
        return BTreeSet::new();
    }
    large.iter().map(|f| f.id).collect()
}

/// Returns up to four addresses for a caller: those in its data centre `centre` first, and two in
/// different other data centres, or more if there are not enough in its own. They are of advertised
/// daemons; while none of these is known to be alive, of daemons that leave but still take requests.
///
/// Within a data centre `tie_break` decides the order. It should differ from caller to caller, so
/// that callers are distributed over the daemons.
///
/// ```
/// use rattanturn_core::{NodeId, Time, addresses::{Frontend, LEAVING_ANSWER_TTL, choose}};
/// let frontend = |id, accepting| Frontend {
///     id: NodeId(id),
///     addr: format!("127.0.0.{id}:80").parse().unwrap(),
///     centre: "a".into(),
///     accepting,
///     suspect: false,
///     closes_at: (!accepting).then_some(Time::from_millis(4_000)),
///     capacity: 1.0,
/// };
/// let now = Time::from_millis(3_000);
/// let chosen = choose(&[frontend(1, true), frontend(2, false)], "a", 0, now);
/// assert_eq!(chosen.addrs, ["127.0.0.1:80".parse().unwrap()]);
/// let leaving = choose(&[frontend(2, false)], "a", 0, now);
/// assert_eq!(leaving.addrs, ["127.0.0.2:80".parse().unwrap()]);
/// assert_eq!(leaving.ttl, LEAVING_ANSWER_TTL);
/// ```
#[must_use]
pub fn choose(frontends: &[Frontend], centre: &str, tie_break: u64, now: Time) -> Choice {
    let mut candidates = candidates(frontends, now);
    let all_leave = !candidates.is_empty() && candidates.iter().all(|f| f.closes_at.is_some());
    candidates.sort_by_key(|f| rendezvous::score(f.id, tie_break));
    let (own, others): (Vec<&Frontend>, Vec<&Frontend>) =
        candidates.into_iter().partition(|f| f.centre == centre);
    let others = alternate_centres(others, |f| &f.centre);
    let elsewhere = MIN_ELSEWHERE.min(others.len());
    let near = own.len().min(MAX_ADDRESSES - elsewhere);
    let chosen = own[..near].iter().chain(&others).chain(&own[near..]);
    Choice {
        addrs: chosen.take(MAX_ADDRESSES).map(|f| f.addr).collect(),
        ttl: if all_leave {
            LEAVING_ANSWER_TTL
        } else {
            ANSWER_TTL
        },
    }
}
