//! Keeps the panels object in step with membership.
//!
//! One daemon does this, chosen by rank; if two believe so for a while, the platform's
//! conditional update lets one through. While the platform is down the panels stay.

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

/// Interval between steps.
const INTERVAL: Duration = Duration::from_secs(1);
/// Time after start before the first panels are made, so that peers are known.
const SETTLE: Duration = Duration::from_secs(2);

/// When the next step is due.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Registrar {
    next: Option<Time>,
}

impl Registrar {
    pub(crate) fn due(&mut self, now: Time) -> bool {
        let next = *self.next.get_or_insert(now + SETTLE);
        if now < next {
            return false;
        }
        self.next = Some(now + INTERVAL);
        true
    }
}

/// The panels to write and the version they replace, if anything has to change.
pub(crate) fn next_panels(
    panels: (u64, Option<&VoterSets>),
    members: &[Member],
) -> Option<(u64, Vec<u8>)> {
    let staying = members.iter().filter(|m| m.record.state != State::Leaving);
    let peers: Vec<Candidate> = staying
        .map(|m| Candidate {
            id: m.record.id,
            centre: rendezvous::key(&m.record.endpoints.centre),
            known: m.versions.voter_sets,
        })
        .collect();
    let (version, next) = match panels {
        (version, Some(panels)) => (version, panels.next_step(version, &peers)?),
        (_, None) => (0, VoterSets::create(&peers)),
    };
    // The form in which the platform's client reads it back, so that patches fit.
    let value = serde_json::to_value(&next).ok()?;
    Some((version, serde_json::to_vec_pretty(&value).ok()?))
}

/// Writes panels; whatever the platform then holds is taken from it.
pub(crate) async fn write(
    platform: ObjectClient,
    version: u64,
    body: Vec<u8>,
    events: UnboundedSender<Event>,
) {
    let found = match platform.write(VOTERS_KEY, version, &body).await {
        WriteOutcome::Done(version) => ObjectVersion {
            key: VOTERS_KEY,
            version,
            body,
        },
        WriteOutcome::Refused(why) => {
            tracing::error!(%why, "the platform refused the panels");
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
    // The control thread may be gone.
    let _ = events.send(Event::ObjectVersion(found));
}
