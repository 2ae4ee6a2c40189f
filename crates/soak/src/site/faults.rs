//! Begins and ends faults, and notes what they explain.

use std::{collections::HashSet, io};

use rand::{Rng, seq::IndexedRandom};
use rustix::process::Signal;
use samphirespread_adapter::Kind;
use samphirespread_standin::{
    link::{Direction, Link},
    published::{Behaviour, StoreFault},
};

use serde_json::Value;

use super::{Managed, Site, documents::gateway_settings};
use crate::{
    history::{Changed, RunMs, Victim, Work},
    plan::{Fault, Path, PathFault, Planned, Process},
};

/// A connection that was open during a fault may suffer from it for as long as a request lasts.
const AFTERMATH_MS: u64 = 8_000;
/// A thawed process first works off what has piled up.
const THAW_MS: u64 = 3_000;

impl Site {
    /// Begins a fault.
    ///
    /// # Errors
    ///
    /// When a settings file can't be written.
    pub(crate) fn begin(&mut self, planned: &Planned) -> io::Result<()> {
        let from_ms = self.now_ms();
        let until_ms = from_ms + planned.for_ms;
        match &planned.fault {
            Fault::Leaves(process) => {
                let grace_ms = self.grace_ms;
                let managed = self.managed(*process);
                let is_first = managed.leaving_since_ms.is_none();
                managed.leaving_since_ms.get_or_insert(from_ms);
                managed.program.signal(Signal::TERM);
                if let (Process::Gateway(gateway), true) = (*process, is_first) {
                    self.planned.push(Work::Stop { gateway, at_ms: from_ms, grace_ms });
                }
            }
            Fault::Dies(process) => {
                let managed = self.managed(*process);
                managed.is_killed = true;
                managed.down_until_ms = until_ms;
                managed.program.signal(Signal::KILL);
                self.disturb_process(*process, from_ms, until_ms + super::START_MS);
            }
            Fault::Freezes(process) => {
                self.managed(*process).program.signal(Signal::STOP);
                self.disturb_process(*process, from_ms, until_ms + THAW_MS);
            }
            Fault::HangUp(process) => {
                self.managed(*process).program.signal(Signal::HUP);
                if let Process::Gateway(gateway) = *process {
                    self.planned.push(Work::HangUp { gateway, at_ms: from_ms });
                }
            }
            Fault::SettingsChange { gateway, signalled } => {
                let slack = self.bounds.retry_slack;
                let facts = &mut self.gateways[*gateway].facts;
                facts.retry_slack = if facts.retry_slack == slack { slack - 1 } else { slack };
                self.configure(*gateway, *signalled)?;
            }
            Fault::WrongClock { gateway, ahead_ms } => {
                self.gateways[*gateway].facts.clock_ahead_ms = *ahead_ms;
                self.configure(*gateway, true)?;
            }
            Fault::Path(path, fault) => self.begin_path(*path, *fault, from_ms, until_ms),
            Fault::ServerLimits { server, per_1000_s } => {
                self.set_limit(*server, Some(*per_1000_s));
            }
            Fault::KeyWithdrawn => self.set_key(false),
            Fault::Reconfigured => self.reconfigure(),
            Fault::Configured(setting) => {
                self.configuration.change(*setting);
                self.reconfigure();
            }
            // It names no server, so it explains nothing.
            Fault::ForeignEntry(foreign) => self.write_foreign(foreign),
            Fault::WeightsNamed => {
                self.version += 1;
                self.name_weights();
            }
            Fault::ServiceRollout { quality, duration_s } => {
                self.order_rollout(*quality, *duration_s);
            }
            Fault::StoreDown
            | Fault::StoreOverRate
            | Fault::StoreFrozen
            | Fault::StoreSlow(_)
            | Fault::StoreLosesAnswers
            | Fault::StoreForgets => self.begin_store(&planned.fault, from_ms, until_ms),
            Fault::StoreReturns => {
                self.store_copies.push_back(self.store.snapshot());
                self.disturb(Victim::Store, from_ms, until_ms + AFTERMATH_MS);
            }
            Fault::ServerDown(server)
            | Fault::ServerFrozen(server)
            | Fault::ServerMisbehaves { server, .. }
            | Fault::ServerRefuses { server, .. }
            | Fault::ServerBeginsLate { server, .. }
            | Fault::ServerNeverEnds { server, .. }
            | Fault::ServerDropsIdle { server, .. }
            | Fault::ServerDrains(server)
            | Fault::EntryLapses(server)
            | Fault::AddressReused { server, .. } => {
                self.begin_server(*server, &planned.fault, from_ms, until_ms);
            }
        }
        Ok(())
    }

    /// Ends a fault.
    ///
    /// # Errors
    ///
    /// When a port can't be had again.
    pub(crate) async fn end(&mut self, planned: &Planned) -> io::Result<()> {
        match &planned.fault {
            Fault::Freezes(process) => self.managed(*process).program.signal(Signal::CONT),
            Fault::Path(path, _) => {
                let link = self.link(*path);
                link.set_down(false);
                link.set_delay_ms(0);
                link.set_rate_bytes_per_s(0);
            }
            Fault::KeyWithdrawn => self.set_key(true),
            Fault::ForeignEntry(foreign) => self.remove_foreign(foreign),
            Fault::StoreDown | Fault::StoreOverRate | Fault::StoreLosesAnswers => {
                self.store.set_fault(StoreFault::None);
            }
            Fault::StoreReturns => self.return_store(),
            Fault::StoreFrozen => self.store.set_frozen(false),
            Fault::StoreSlow(_) => self.store.set_slow_ms(0),
            Fault::ServerDown(server)
            | Fault::ServerDrains(server)
            | Fault::EntryLapses(server)
            | Fault::AddressReused { server, .. }
                if self.servers[*server].is_stopped => {}
            Fault::ServerDown(server) => self.servers[*server].worker.resume()?,
            Fault::ServerFrozen(server) => self.servers[*server].worker.set_frozen(false),
            Fault::ServerMisbehaves { server, .. }
            | Fault::ServerRefuses { server, .. }
            | Fault::ServerBeginsLate { server, .. }
            | Fault::ServerNeverEnds { server, .. } => {
                self.servers[*server].worker.expect_nothing();
            }
            Fault::ServerDropsIdle { server, .. } => {
                self.servers[*server].worker.drop_idle_after(None);
            }
            Fault::ServerLimits { server, .. } => self.set_limit(*server, None),
            Fault::ServerDrains(server) | Fault::EntryLapses(server) => {
                self.write_entry(*server, "ready");
                let id = self.servers[*server].worker.id().to_owned();
                self.change(Changed::Ready(id));
            }
            Fault::AddressReused { server: index, .. } => {
                let server = &self.servers[*index];
                server.link.set_target(server.worker.address());
                server.link.cut();
                server.worker.restart();
                self.write_entry(*index, "ready");
            }
            Fault::Leaves(_)
            | Fault::Dies(_)
            | Fault::HangUp(_)
            | Fault::SettingsChange { .. }
            | Fault::WrongClock { .. }
            | Fault::Reconfigured
            | Fault::Configured(_)
            | Fault::WeightsNamed
            | Fault::ServiceRollout { .. }
            | Fault::StoreForgets => {}
        }
        // A server that is down takes its connections with it, for which nothing else waits.
        tokio::task::yield_now().await;
        Ok(())
    }

    /// Restores the store from the oldest copy. What the operator and the servers wrote since is written
    /// again; what the system wrote is lost.
    fn return_store(&mut self) {
        let Some(copy) = self.store_copies.pop_front() else { return };
        let kinds =
            [Kind::BackendServers, Kind::Weights, Kind::Configuration, Kind::ServiceRollouts];
        let kinds = kinds.map(Kind::name);
        let written = kinds.map(|kind| self.store.objects(kind));
        self.store.restore(&copy);
        for (kind, written) in kinds.into_iter().zip(written) {
            let name =
                |object: &Value| object["metadata"]["name"].as_str().unwrap_or_default().to_owned();
            let names: HashSet<String> = written.iter().map(name).collect();
            for object in written {
                self.store.put(kind, &name(&object), object["spec"].clone());
            }
            for gone in self.store.objects(kind).iter().map(name) {
                if !names.contains(&gone) {
                    self.store.remove(kind, &gone);
                }
            }
        }
    }

    fn managed(&mut self, process: Process) -> &mut Managed {
        match process {
            Process::Gateway(index) => &mut self.gateways[index].program,
            Process::Sidecar(index) => &mut self.sidecars[index],
        }
    }

    fn link(&self, path: Path) -> &Link {
        match path {
            Path::Callers(gateway) => &self.gateways[gateway].callers,
            Path::Store(gateway) => &self.gateways[gateway].store,
            Path::Server(server) => &self.servers[server].link,
        }
    }

    fn disturb_process(&mut self, process: Process, from_ms: RunMs, until_ms: RunMs) {
        if let Process::Gateway(index) = process {
            self.disturb(Victim::Gateway(index), from_ms, until_ms);
        }
    }

    fn configure(&mut self, index: usize, signalled: bool) -> io::Result<()> {
        let at_ms = self.now_ms();
        let gateway = &self.gateways[index];
        let settings = gateway_settings(&gateway.facts, &self.bounds);
        gateway.program.program.configure(&settings)?;
        if signalled {
            gateway.program.program.signal(Signal::HUP);
            self.planned.push(Work::HangUp { gateway: index, at_ms });
        }
        Ok(())
    }

    #[expect(clippy::cast_precision_loss, reason = "limits are small")]
    fn set_limit(&mut self, index: usize, per_1000_s: Option<u64>) {
        let worker = &self.servers[index].worker;
        let per_s = per_1000_s.map(|limit| limit as f64 / 1_000.0);
        worker.set_limit(per_s.map(|per_s| per_s.to_string()).as_deref());
        let server = worker.id().to_owned();
        self.change(Changed::Limited { server, per_s });
    }

    fn set_key(&mut self, with_key: bool) {
        self.configuration.with_key = with_key;
        self.reconfigure();
        self.change(if with_key { Changed::KeyGiven } else { Changed::KeyWithdrawn });
    }

    fn begin_path(&mut self, path: Path, fault: PathFault, from_ms: RunMs, until_ms: RunMs) {
        let link = self.link(path);
        match fault {
            PathFault::Closed => link.cut(),
            PathFault::Reset => link.reset(),
            PathFault::Silent => link.silence(),
            PathFault::SilentToServer => link.silence_one_way(Direction::ToTarget),
            PathFault::SilentFromServer => link.silence_one_way(Direction::FromTarget),
            PathFault::Down => link.set_down(true),
            PathFault::Slow(delay_ms) => link.set_delay_ms(delay_ms),
            PathFault::Narrow(bytes_per_s) => link.set_rate_bytes_per_s(bytes_per_s),
        }
        let victim = match path {
            Path::Callers(gateway) => Victim::Gateway(gateway),
            Path::Store(_) => Victim::Store,
            Path::Server(server) => Victim::Server(self.servers[server].worker.id().to_owned()),
        };
        self.disturb(victim, from_ms, until_ms + AFTERMATH_MS);
    }

    fn begin_store(&mut self, fault: &Fault, from_ms: RunMs, until_ms: RunMs) {
        match fault {
            Fault::StoreDown => self.store.set_fault(StoreFault::Unavailable),
            Fault::StoreOverRate => self.store.set_fault(StoreFault::OverRate),
            Fault::StoreFrozen => self.store.set_frozen(true),
            Fault::StoreSlow(slow_ms) => self.store.set_slow_ms(*slow_ms),
            Fault::StoreLosesAnswers => self.store.set_fault(StoreFault::LoseWriteAnswers),
            _ => self.store.forget_history(),
        }
        self.disturb(Victim::Store, from_ms, until_ms);
    }

    fn begin_server(&mut self, index: usize, fault: &Fault, from_ms: RunMs, until_ms: RunMs) {
        if self.servers[index].is_stopped {
            return;
        }
        let id = self.servers[index].worker.id().to_owned();
        match fault {
            Fault::ServerDown(_) => self.servers[index].worker.begin_to_stop(),
            Fault::ServerFrozen(_) => self.servers[index].worker.set_frozen(true),
            Fault::ServerMisbehaves { requests, .. } => {
                let odd: Vec<Behaviour> = (0..*requests).map(|_| self.odd_behaviour()).collect();
                self.servers[index].worker.expect(odd);
            }
            Fault::ServerNeverEnds { requests, .. } => {
                self.servers[index].worker.expect(vec![Behaviour::Endless; *requests]);
            }
            // What a sound server may do explains nothing.
            Fault::ServerRefuses { requests, .. } => {
                self.servers[index].worker.expect(vec![Behaviour::Refuse; *requests]);
                return;
            }
            Fault::ServerBeginsLate { requests, delay_ms, .. } => {
                let late = vec![Behaviour::AnswerAfterMs(*delay_ms); *requests];
                self.servers[index].worker.expect(late);
                return;
            }
            Fault::ServerDropsIdle { after_ms, .. } => {
                self.servers[index].worker.drop_idle_after(Some(*after_ms));
                self.change(Changed::DropsIdle(id));
                return;
            }
            Fault::ServerDrains(_) => {
                self.write_entry(index, "draining");
                self.change(Changed::Draining(id.clone()));
                return;
            }
            Fault::EntryLapses(_) => {
                self.store.remove(Kind::BackendServers.name(), &id);
                self.change(Changed::Draining(id.clone()));
                return;
            }
            Fault::AddressReused { by, .. } => {
                let other = self.servers[*by].worker.address();
                let link = &self.servers[index].link;
                link.set_target(other);
                link.cut();
            }
            _ => {}
        }
        self.disturb(Victim::Server(id), from_ms, until_ms + AFTERMATH_MS);
    }

    fn odd_behaviour(&mut self) -> Behaviour {
        let odd = [
            Behaviour::Answer,
            Behaviour::AnswerAfterMs(self.random.random_range(1..600)),
            Behaviour::Refuse,
            Behaviour::Fail,
            Behaviour::BreakOff,
            Behaviour::AnswerAnother,
            Behaviour::AnswerUnsigned,
            Behaviour::CutStreamAfter(self.random.random_range(0..5)),
        ];
        *odd.choose(&mut self.random).unwrap_or(&Behaviour::Answer)
    }
}
