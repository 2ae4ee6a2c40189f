//! Idle connections to the servers, which may have dropped them.

use samphirespread_core::prelude::*;
use samphirespread_outbound::IdleConnection;
use samphirespread_routing::{
    server_limit::ServerRun,
    stale_connections::{IdleUse, ServiceIdleTimes},
};

use super::{Fleet, Server};

impl Fleet {
    /// Takes an idle connection to a server, and what may be done with it. One on which a request may be
    /// sent comes before one that has to be checked.
    pub(crate) fn take_idle(
        &mut self,
        id: &str,
        now: MonoTime,
    ) -> Option<(IdleConnection, IdleUse)> {
        let server = self.servers.get_mut(id)?;
        let unknown = ServiceIdleTimes::default();
        let service = self.idle_times.get(&server.entry.service).unwrap_or(&unknown);
        let Server { idle, idle_times, .. } = server;
        let idle_use = |idle_ms| service.idle_use(idle_times, idle_ms, now);
        let now_ms = now.as_ms();
        idle.retain(now_ms, |idle_ms| idle_use(idle_ms) != IdleUse::Discard);
        if let Some(open) = idle.take(now_ms, |idle_ms| idle_use(idle_ms) == IdleUse::Send) {
            return Some((open, IdleUse::Send));
        }
        Some((idle.take(now_ms, |_| true)?, IdleUse::Check))
    }

    /// Records that a connection to a run of a server was open after it had been idle for `idle_ms`.
    pub(crate) fn record_idle_survived(
        &mut self,
        id: &str,
        run: ServerRun,
        idle_ms: u64,
        now: MonoTime,
    ) {
        if let Some((server, service)) = self.idle_times_of(id, run) {
            service.record_survived(&mut server.idle_times, idle_ms, now);
        }
    }

    /// Records that a run of a server had dropped a connection that had been idle for `idle_ms`.
    pub(crate) fn record_idle_dropped(
        &mut self,
        id: &str,
        run: ServerRun,
        idle_ms: u64,
        now: MonoTime,
    ) {
        if let Some((server, service)) = self.idle_times_of(id, run) {
            service.record_dropped(&mut server.idle_times, idle_ms, now);
        }
    }

    fn idle_times_of(
        &mut self,
        id: &str,
        run: ServerRun,
    ) -> Option<(&mut Server, &mut ServiceIdleTimes)> {
        let server = self.servers.get_mut(id).filter(|server| server.run_tag == run)?;
        if !self.idle_times.contains_key(&server.entry.service) {
            self.idle_times.insert(server.entry.service.clone(), ServiceIdleTimes::default());
        }
        let service = self.idle_times.get_mut(&server.entry.service)?;
        Some((server, service))
    }
}
