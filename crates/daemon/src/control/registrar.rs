//! Updates the voter sets at the platform when daemons join, leave or die.
//!
//! One daemon does this, chosen by rendezvous hashing. If two daemons consider themselves chosen
//! for a while, the platform's conditional update lets only one of them write. While the platform
//! is unreachable, the voter sets do not change.

use {
    crate::control::{Event, ObjectVersion, VOTERS_KEY},
    rattanturn_core::{
        Time,
        membership::{Member, State},
        rendezvous,
        voter_sets::{Candidate, VoterSets},
    },
    rattanturn_platform::objects::{ObjectClient, ReadOutcome, WriteOutcome},
    std::time::Duration,
    tokio::sync::mpsc::UnboundedSender,
};

/// Interval between two updates; each changes at most one voter of a set.
const INTERVAL: Duration = Duration::from_secs(1);
/// Delay of the first update after the start, so that the peers are known by then.
const STARTUP_DELAY: Duration = Duration::from_secs(2);

/// Schedule of the updates.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Registrar {
    next: Option<Time>,
}

impl Registrar {
    /// Whether an update is due; if so, the next one is due [`INTERVAL`] later.
    ///
    /// The first call starts the [`STARTUP_DELAY`].
    pub(crate) fn due(&mut self, now: Time) -> bool {
        let next = *self.next.get_or_insert(now + STARTUP_DELAY);
        if now < next {
            return false;
        }
        self.next = Some(now + INTERVAL);
        true
    }
}

/// Returns the voter sets to write, as JSON, and the version that they replace.
///
/// `current` is the version and the value of the known voter sets, or 0 and `None`. Returns `None`
/// if nothing needs to change, or no change is safe yet.
pub(crate) fn next_voter_sets(
    current: (u64, Option<&VoterSets>),
    members: &[Member],
) -> Option<(u64, Vec<u8>)> {
    let staying = members.iter().filter(|m| m.record.state != State::Leaving);
    let candidates: Vec<Candidate> = staying
        .map(|m| Candidate {
            id: m.record.id,
            centre: rendezvous::key(&m.record.endpoints.centre),
            known: m.versions.voter_sets,
        })
        .collect();
    let (version, next) = match current {
        (version, Some(sets)) => (version, sets.next_step(version, &candidates)?),
        (_, None) => (0, VoterSets::create(&candidates)),
    };
    // The platform's client returns an object in this form too. Equal bytes on all daemons are
    // needed for patches between versions to apply.
    let value = serde_json::to_value(&next).ok()?;
    Some((version, serde_json::to_vec_pretty(&value).ok()?))
}

/// Writes voter sets to the platform and reports to control what is stored afterwards, which after
/// a conflict is the value of another writer.
pub(crate) async fn write(
    platform: ObjectClient,
    version: u64,
    body: Vec<u8>,
    events: UnboundedSender<Event>,
) {
    let stored = match platform.write(VOTERS_KEY, version, &body).await {
        WriteOutcome::Done(version) => ObjectVersion {
            key: VOTERS_KEY,
            version,
            body,
        },
        WriteOutcome::Refused(why) => {
            tracing::error!(%why, "the platform refused the new voter sets");
            return;
        }
        WriteOutcome::Conflict | WriteOutcome::Ambiguous => match platform.read(VOTERS_KEY).await {
            ReadOutcome::Found(o) => ObjectVersion {
                key: VOTERS_KEY,
                version: o.version,
                body: o.body,
            },
            _ => return,
        },
    };
    // Sending fails only if the control thread has ended.
    let _ = events.send(Event::ObjectVersion(stored));
}
