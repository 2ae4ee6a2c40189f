//! Moves the plain service to a new version of its software: what the operator and the platform do.

use samphirespread_adapter::Kind;
use samphirespread_standin::published::{Behaviour, Received, Worker};
use serde_json::json;

use super::{Site, documents::DESK, run_ms};
use crate::{
    history::{Changed, RolloutState, RunMs, ServiceRollout, VersionFault},
    plan::Quality,
};

/// The version that the service is to have.
pub(super) const NEW_VERSION: &str = "v2";
/// Requests that a server is told in advance how to handle; more than it gets.
const SCRIPTED_REQUESTS: usize = 20_000;
/// The entries of stopped servers go this long after they have stopped, as their leases end.
const ENTRY_LEASE_MS: u64 = 2_000;
/// Servers of a version that was withdrawn begin to leave this long after the verdict.
const WITHDRAWN_MS: u64 = 2_000;

/// A move that was ordered.
#[derive(Debug)]
pub(super) struct Rollout {
    seen: ServiceRollout,
    quality: Quality,
    /// What is still to be done with the entries of servers, and when.
    entries_due: Option<(RunMs, EntryChange)>,
}

#[derive(Clone, Copy, Debug)]
enum EntryChange {
    BaselineGoes,
    NewLeave,
}

impl Site {
    /// Gives the order and lists the servers of the new version.
    pub(super) fn order_rollout(&mut self, quality: Quality, duration_s: u64) {
        let order = json!({ "service": DESK, "to": NEW_VERSION, "durationS": duration_s });
        self.store.put(Kind::ServiceRollouts.name(), DESK, order);
        let ordered_ms = self.now_ms();
        let (new, baseline) = self.desk_servers();
        for index in &new {
            self.servers[*index].worker.expect(behaviours(quality));
            self.write_entry(*index, "ready");
        }
        let id = |index: &usize| self.servers[*index].worker.id().to_owned();
        let seen = ServiceRollout {
            ordered_ms,
            deadline_ms: ordered_ms + duration_s * 1_000,
            fault: fault(quality),
            baseline: baseline.iter().map(id).collect(),
            new: new.iter().map(id).collect(),
            ..ServiceRollout::default()
        };
        self.rollout = Some(Rollout { seen, quality, entries_due: None });
    }

    /// The indices of the service's servers: those of the new version, and the others.
    fn desk_servers(&self) -> (Vec<usize>, Vec<usize>) {
        let desks = self.servers.iter().enumerate().filter(|(_, server)| server.service == DESK);
        let (new, baseline): (Vec<_>, Vec<_>) =
            desks.partition(|(_, server)| server.worker.software() == NEW_VERSION);
        let indices = |servers: Vec<(usize, _)>| servers.into_iter().map(|it| it.0).collect();
        (indices(new), indices(baseline))
    }

    /// Does what the platform does when the order's state changes.
    pub(crate) fn apply_rollout_state(&mut self) {
        let now_ms = self.now_ms();
        let object = self.store.object(Kind::ServiceRollouts.name(), DESK);
        let Some(rollout) = &mut self.rollout else { return };
        let state =
            object.and_then(|object| RolloutState::from_name(object["status"]["state"].as_str()?));
        let known = rollout.seen.states.last().map(|(_, state)| *state);
        if let Some(state) = state.filter(|state| known != Some(*state)) {
            rollout.seen.states.push((now_ms, state));
            match state {
                RolloutState::Completed if rollout.seen.stopped_ms.is_none() => {
                    rollout.seen.stopped_ms = Some(now_ms);
                    rollout.entries_due =
                        Some((now_ms + ENTRY_LEASE_MS, EntryChange::BaselineGoes));
                    self.stop_baseline();
                }
                RolloutState::RolledBack if rollout.entries_due.is_none() => {
                    rollout.entries_due = Some((now_ms + WITHDRAWN_MS, EntryChange::NewLeave));
                }
                _ => {}
            }
        }
        self.change_due_entries(now_ms);
    }

    fn stop_baseline(&mut self) {
        for index in self.desk_servers().1 {
            let server = &mut self.servers[index];
            server.is_stopped = true;
            server.worker.begin_to_stop();
            server.link.cut();
        }
    }

    fn change_due_entries(&mut self, now_ms: RunMs) {
        let due = self
            .rollout
            .as_mut()
            .and_then(|rollout| rollout.entries_due.take_if(|(at_ms, _)| *at_ms <= now_ms));
        let Some((_, change)) = due else { return };
        let (new, baseline) = self.desk_servers();
        let changed = match change {
            EntryChange::BaselineGoes => baseline,
            EntryChange::NewLeave => new,
        };
        for index in changed {
            let id = self.servers[index].worker.id().to_owned();
            match change {
                EntryChange::BaselineGoes => {
                    self.store.remove(Kind::BackendServers.name(), &id);
                }
                EntryChange::NewLeave => self.write_entry(index, "draining"),
            }
            self.change(Changed::Draining(id));
        }
    }

    /// What was seen of the move.
    pub(super) fn seen_rollout(&self) -> Option<ServiceRollout> {
        let Rollout { seen, quality, .. } = self.rollout.as_ref()?;
        let new = self.desk_servers().0;
        let workers = new.into_iter().map(|index| &self.servers[index].worker);
        let mut bad_answers_ms: Vec<RunMs> =
            workers.flat_map(|worker| self.bad_answers_ms(worker, *quality)).collect();
        bad_answers_ms.sort_unstable();
        Some(ServiceRollout { bad_answers_ms, ..seen.clone() })
    }

    fn bad_answers_ms(&self, worker: &Worker, quality: Quality) -> Vec<RunMs> {
        let sound = match quality {
            Quality::Sound => return Vec::new(),
            Quality::Fails { after } | Quality::Slow { after, .. } => after,
        };
        let mut received = worker.received();
        received.sort_by_key(|received| received.at);
        let answered = |received: &Received| Some(run_ms(self.began, received.ended?.0));
        received.iter().skip(sound).filter_map(answered).collect()
    }
}

fn fault(quality: Quality) -> Option<VersionFault> {
    match quality {
        Quality::Sound => None,
        Quality::Fails { .. } => Some(VersionFault::Fails),
        Quality::Slow { .. } => Some(VersionFault::Slow),
    }
}

/// How a server of the version handles its requests.
fn behaviours(quality: Quality) -> Vec<Behaviour> {
    let (sound, bad) = match quality {
        Quality::Sound => return Vec::new(),
        Quality::Fails { after } => (after, Behaviour::Fail),
        Quality::Slow { after, delay_ms } => (after, Behaviour::AnswerAfterMs(delay_ms)),
    };
    let mut behaviours = vec![Behaviour::Answer; sound];
    behaviours.resize(SCRIPTED_REQUESTS, bad);
    behaviours
}
