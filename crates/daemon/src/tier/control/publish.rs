//! Builds the view that traffic serves requests by, and publishes it.
//!
//! A view is built as a whole and not changed afterwards, so traffic reads it without locks. As this
//! takes a pass over all targets and members, it is done only if one of the inputs has changed. Most
//! inputs are change counters and digests, which are cheaper to compare than the contents; whatever
//! a view is built from must therefore have one.

use {
    super::{Control, DEAD_MEMBER_GRACE},
    crate::{
        clock,
        tier::view::{Phase, View},
    },
    rattanturn_core::{
        NodeId, Time,
        addresses::{self, Frontend},
        discovery::Target,
        membership::{Member, State},
        quota,
        shutdown::StopSchedule,
    },
    std::{
        collections::{BTreeSet, HashMap},
        net::SocketAddr,
        sync::Arc,
    },
};

/// What the current view was built from; the view is rebuilt only if this changes.
#[derive(Default, PartialEq)]
pub(super) struct ViewInputs {
    /// Version of the configuration.
    pub(super) version: u64,
    /// Change counter of the targets.
    targets: u64,
    /// Change counter of the members.
    members: u64,
    evacuated: BTreeSet<String>,
    /// Digest of the registered daemons.
    daemons: u64,
    /// Change counter of the roll-outs.
    rollouts: u64,
    phase: Phase,
    stop: Option<StopSchedule>,
}

impl ViewInputs {
    /// Change counter of the members and digest of the registered daemons: if neither changes, the
    /// choice of readers cannot change either.
    pub(super) fn reader_inputs(&self) -> (u64, u64) {
        (self.members, self.daemons)
    }
}

impl Control {
    /// All present daemons, with whether each accepts callers.
    pub(super) fn frontends(&self) -> Vec<Frontend> {
        // A suspect daemon is advertised only while no daemon is alive: it takes seconds to
        // confirm that it is dead, and callers would be sent to it meanwhile.
        let mut others = self.membership.present().filter(|m| m.record.id != self.me);
        let others_alive = others.any(|m| m.record.state == State::Alive);
        let alive = others_alive || self.phase == Phase::Serving;
        let accepts = |state| state == State::Alive || (state == State::Suspect && !alive);
        let frontends = self.membership.present().map(|m| Frontend {
            id: m.record.id,
            addr: SocketAddr::new(m.record.endpoints.gossip.ip(), m.record.endpoints.http),
            centre: m.record.endpoints.centre.clone(),
            accepting: if m.record.id == self.me {
                // A withdrawn daemon is still better than none.
                self.phase == Phase::Serving && (!self.withdrawn || !others_alive)
            } else {
                accepts(m.record.state)
            },
            suspect: m.record.state == State::Suspect,
            closes_at: self.closing_time(m),
            capacity: self.capacity(&m.record.endpoints.name),
        });
        frontends.collect()
    }

    /// When a daemon that leaves closes its listeners. That of another daemon is an estimate: its stop
    /// began when this daemon learned that it leaves, and has the same limit.
    fn closing_time(&self, member: &Member) -> Option<Time> {
        if member.record.id == self.me {
            let stopping = self.stopping.as_ref();
            return stopping.map(|(schedule, _)| schedule.close_at());
        }
        let schedule = StopSchedule::new(member.changed, self.settings.drain_limit);
        (member.record.state == State::Leaving).then(|| schedule.close_at())
    }

    /// Publishes a new view for traffic if something changed.
    pub(super) fn publish_view(&mut self) {
        let inputs = ViewInputs {
            version: self.cluster.config_version(),
            targets: self.cluster.targets.changes(),
            members: self.membership.changes(),
            evacuated: self.cluster.evacuations.centres().clone(),
            daemons: self.cluster.daemons_digest,
            rollouts: self.cluster.rollouts.changes(),
            phase: self.phase,
            stop: self.stopping.as_ref().map(|(schedule, _)| *schedule),
        };
        if inputs == self.view_inputs {
            return;
        }
        self.view_inputs = inputs;
        let mut services: HashMap<String, Vec<Arc<Target>>> = HashMap::new();
        let uses_rollouts = self.tier.rollouts.is_some();
        let rollouts = &mut self.cluster.rollouts;
        if uses_rollouts {
            rollouts.update_versions(&self.cluster.targets);
        }
        let allowed = |t: &Target| !uses_rollouts || rollouts.allows(&t.service, &t.version);
        for target in self.cluster.targets.targets() {
            let evacuated = self.cluster.evacuations.contains(&target.centre);
            if !target.leaving && !evacuated && allowed(target) {
                let list = services.entry(target.service.clone()).or_default();
                list.push(Arc::new(target.clone()));
            }
        }
        let orders = rollouts.orders().iter();
        let rollouts = orders.map(|(s, o)| (s.clone(), o.current.clone()));
        let rollouts = rollouts.collect();
        let now = clock::now();
        let recent = self
            .membership
            .members()
            .filter(|m| m.record.state != State::Dead || now.since(m.changed) < DEAD_MEMBER_GRACE);
        let daemons: Vec<NodeId> = recent.map(|m| m.record.id).collect();
        let frontends = self.frontends();
        let advertised = addresses::advertised(&frontends);
        let is_advertised = advertised.iter().any(|e| e.id == self.me);
        let leaving = self.membership.present();
        let leaving = leaving.filter(|m| m.record.state == State::Leaving);
        let leaving: Vec<NodeId> = leaving.map(|m| m.record.id).collect();
        let known = quota::known_daemons(&frontends, &leaving);
        let recorded: Vec<f64> = self.cluster.daemons.values().copied().collect();
        // Callers that know the address of this daemon go on using it for a while.
        let still_called = self.phase != Phase::Serving || self.withdrawn;
        let took_callers = self.shared.load().takes_callers;
        let view = View {
            sharing_daemons: quota::sharing_daemons(known, &recorded),
            calling_daemons: quota::sharing_daemons(daemons.len(), &vec![1.0; recorded.len()]),
            advertised: is_advertised,
            takes_callers: is_advertised || (still_called && took_callers),
            catalog: self.cluster.catalog.clone(),
            services,
            evacuated: self.cluster.evacuations.centres().clone(),
            rollouts,
            uses_rollouts,
            frontends,
            daemons,
            me: self.me,
            phase: self.phase,
            stop: self.stopping.as_ref().map(|(schedule, _)| *schedule),
        };
        self.shared.store(Arc::new(view));
    }
}
