//! Which version's targets a call may use, and which of them carry a share.
//!
//! Each daemon applies the share to its own requests, without coordination. The sum over all daemons
//! then never exceeds the share, at the price that a daemon with few requests sends none to the new
//! version for a while.

use {
    super::{Rollout, State},
    crate::{NodeId, rendezvous},
    std::{collections::BTreeSet, time::Duration},
};

/// Time without contact, with the store and with all daemons that read it, after which a daemon
/// sends nothing to a version that is not done: the version may have been reverted meanwhile.
pub const CONTACT_LIMIT: Duration = Duration::from_secs(5);

/// Which versions a call may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// There is no roll-out, so the version does not matter.
    Any,
    /// All versions but the new one.
    Old,
    /// The new version.
    New,
}

/// Counts out the requests of one service that go to the new version.
///
/// The credit starts at 0 and grows by the share with each request, so after `n` requests at most
/// `n` x share went to the new version.
///
/// ```
/// use rattanturn_core::rollout::ShareCredit;
/// let mut credit = ShareCredit::default();
/// let taken = (0..100).filter(|_| credit.take(0.25)).count();
/// assert_eq!(taken, 25);
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShareCredit {
    credit: f64,
}

impl ShareCredit {
    /// Counts a request and returns whether it goes to the new version, which gets the fraction
    /// `share`, from 0 to 1.
    pub fn take(&mut self, share: f64) -> bool {
        if share <= 0.0 {
            // Credit that was saved up under an earlier share must not be spent after a stop.
            self.credit = 0.0;
            return false;
        }
        self.credit += share.min(1.0);
        let takes = self.credit >= 1.0;
        if takes {
            self.credit -= 1.0;
        }
        takes
    }
}

/// The share that a daemon applies, which has been without contact with the store and with all
/// daemons that read it for `silent`.
///
/// ```
/// use {rattanturn_core::rollout::*, std::time::Duration};
/// let order = Order { service: "a".into(), version: "v2".into(), duration: Duration::from_secs(12) };
/// let status = Status {
///     version: "v2".into(),
///     state: State::Running { share: 0.08 },
///     since_ms: 0,
///     step_ms: 0,
///     reason: String::new(),
///     reverted: Vec::new(),
/// };
/// let rollout = Rollout { order, status: Some(status), revision: 7 };
/// assert_eq!(applied_share(&rollout, Duration::ZERO), 0.08);
/// assert_eq!(applied_share(&rollout, CONTACT_LIMIT), 0.0);
/// ```
#[must_use]
pub fn applied_share(rollout: &Rollout, silent: Duration) -> f64 {
    match rollout.current_state() {
        Some(State::Done) => 1.0,
        Some(State::Running { share }) if silent < CONTACT_LIMIT => share,
        _ => 0.0,
    }
}

/// Which versions the next call for the service may use. `silent` is as for [`applied_share`].
///
/// ```
/// use {rattanturn_core::rollout::*, std::time::Duration};
/// assert_eq!(choose(None, Duration::ZERO, &mut ShareCredit::default()), Use::Any);
/// ```
#[must_use]
pub fn choose(rollout: Option<&Rollout>, silent: Duration, credit: &mut ShareCredit) -> Use {
    let Some(rollout) = rollout else {
        return Use::Any;
    };
    if credit.take(applied_share(rollout, silent)) {
        Use::New
    } else {
        Use::Old
    }
}

/// Whether requests may run on targets of a version, also as a fallback or retry.
///
/// Without a roll-out each version may be used.
///
/// ```
/// use {rattanturn_core::rollout::*, std::time::Duration};
/// let order = Order { service: "a".into(), version: "v2".into(), duration: Duration::from_secs(12) };
/// let rollout = Rollout { order, status: None, revision: 7 };
/// assert!(allowed(Some(&rollout), "v1"));
/// assert!(!allowed(Some(&rollout), "v2"));
/// assert!(allowed(None, "v2"));
/// ```
#[must_use]
pub fn allowed(rollout: Option<&Rollout>, version: &str) -> bool {
    let Some(rollout) = rollout else {
        return true;
    };
    let state = rollout.current_state();
    if version == rollout.order.version {
        return match state {
            Some(State::Running { share }) => share > 0.0,
            Some(State::Done) => true,
            Some(State::Reverted) | None => false,
        };
    }
    state != Some(State::Done) && !rollout.is_barred(version)
}

/// Versions that a service uses without its order, out of the `present` ones of its targets: the `known`
/// ones until none of them has targets, then all.
///
/// While an order is not done, its version is not what the service uses without it, whatever was known
/// before: its targets may have been seen before the old ones, or an earlier status may have been done.
///
/// ```
/// use {rattanturn_core::rollout::*, std::collections::BTreeSet};
/// let [v1, v2] = ["v1", "v2"].map(|v| BTreeSet::from([v.to_owned()]));
/// assert_eq!(established(&v1, &["v1", "v2"].into(), None), v1);
/// assert_eq!(established(&v1, &["v2"].into(), None), v2);
/// ```
#[must_use]
pub fn established(
    known: &BTreeSet<String>,
    present: &BTreeSet<&str>,
    rollout: Option<&Rollout>,
) -> BTreeSet<String> {
    let version = rollout.map(|r| r.order.version.as_str());
    if let Some(State::Done) = rollout.and_then(Rollout::current_state) {
        return version.map(str::to_owned).into_iter().collect();
    }
    let others = present.iter().filter(|v| Some(**v) != version);
    let others: BTreeSet<String> = others.map(|v| (*v).to_owned()).collect();
    if known.is_disjoint(&others) {
        others
    } else {
        known.clone()
    }
}

/// The targets, out of the usable ones of the new version, that carry a share of the requests: as
/// many as carry it at the load of one of `old` targets, but at least one. All daemons that know the
/// same targets choose the same ones.
///
/// ```
/// use rattanturn_core::rollout::carriers;
/// let new = ["i-1", "i-2", "i-3", "i-4"];
/// assert_eq!(carriers(&new, 20, 0.08).len(), 2);
/// assert_eq!(carriers(&new, 4, 1.0).len(), 4);
/// ```
#[must_use]
pub fn carriers<'a>(usable: &[&'a str], old: usize, share: f64) -> Vec<&'a str> {
    let mut ranked: Vec<&str> = usable.to_vec();
    ranked.sort_by_key(|id| {
        (
            rendezvous::score(NodeId::default(), rendezvous::key(id)),
            *id,
        )
    });
    ranked.truncate(carrier_count(usable.len(), old, share));
    ranked
}

fn carrier_count(usable: usize, old: usize, share: f64) -> usize {
    let old = if old == 0 { usable } else { old };
    // Numbers of targets are far below 2^52, and the product is not negative.
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    let needed = (share.clamp(0.0, 1.0) * old as f64).ceil() as usize;
    needed.clamp(1, usable.max(1))
}
