//! Decides whether an idle connection to a backend server may carry a request.
//!
//! ```
//! use samphirespread_core::prelude::*;
//! use samphirespread_routing::stale_connections::{IdleUse, ServerIdleTimes, ServiceIdleTimes};
//!
//! let mut service = ServiceIdleTimes::default();
//! let (mut first, mut second) = (ServerIdleTimes::default(), ServerIdleTimes::default());
//! let now = MonoTime::from_ms(1_000);
//! assert_eq!(service.idle_use(&first, 2_000, now), IdleUse::Check);
//!
//! service.record_survived(&mut first, 2_500, now);
//! assert_eq!(service.idle_use(&second, 2_000, now), IdleUse::Send);
//!
//! service.record_dropped(&mut second, 1_800, now);
//! assert_eq!(service.idle_use(&second, 2_000, now), IdleUse::Discard);
//! assert_eq!(service.idle_use(&first, 2_000, now), IdleUse::Check);
//! ```
//!
//! A server may drop an idle connection without notice, after any time. What is sent on it next is
//! reset, and looks like a request that the server has read and broken off, so it must not be sent
//! again if it may run once. Therefore a connection carries a request only if others that were idle for
//! as long have been seen to work; else the server is asked on the connection first.
//!
//! While no connection is dropped, what one server shows counts for all servers of its service, so that
//! questions are rare. After a drop, each server has to show it again itself, and once more after a
//! drop that belies what a server has shown since.
//!
//! Memory: constant for each server and each service. Running time: constant.

mod longest_idle;

use samphirespread_core::prelude::*;

use self::longest_idle::LongestIdle;

/// A connection that has been idle for no longer is taken to be open.
pub const MAX_UNPROVEN_IDLE_MS: u64 = 100;
/// Connections to a server that were idle for as long as one that it has dropped are not used for this
/// long.
const DROP_LIFETIME_MS: u64 = 30_000;
/// For this long after the last drop, what one server shows counts for no other one. It is longer than
/// `DROP_LIFETIME_MS`, so that servers which still drop connections are found before it ends.
const ALARM_MS: u64 = 60_000;

/// What may be done with an idle connection when there is a request for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleUse {
    /// Send the request.
    Send,
    /// Ask the server something that may be asked twice, and send the request once it has answered.
    Check,
    /// Close it, as the server has probably dropped it.
    Discard,
}

/// How long one server keeps idle connections, as far as it has shown.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerIdleTimes {
    survived: LongestIdle,
    /// The alarm during which `survived` was recorded, by its beginning.
    alarm: Option<MonoTime>,
    /// The shortest idle time after which it has dropped a connection. Kept until a connection has
    /// survived that long.
    dropped: Option<DroppedConnection>,
}

/// A connection that a server has dropped.
#[derive(Clone, Copy, Debug)]
struct DroppedConnection {
    idle_ms: u64,
    at: MonoTime,
}

/// How long the servers of one service keep idle connections, as far as they have shown.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceIdleTimes {
    survived: LongestIdle,
    alarm: Option<Alarm>,
}

/// A time in which servers drop idle connections.
#[derive(Clone, Copy, Debug)]
struct Alarm {
    began: MonoTime,
    last_drop: MonoTime,
}

impl ServiceIdleTimes {
    /// Decides what may be done with a connection to `server` that has been idle for `idle_ms`.
    pub fn idle_use(&self, server: &ServerIdleTimes, idle_ms: u64, now: MonoTime) -> IdleUse {
        if server.drops_after(idle_ms, now) {
            return IdleUse::Discard;
        }
        let is_proven = idle_ms <= self.survived_ms(server, now);
        if is_proven || idle_ms <= MAX_UNPROVEN_IDLE_MS { IdleUse::Send } else { IdleUse::Check }
    }

    /// The longest idle time that connections to `server` survive, as far as is known.
    fn survived_ms(&self, server: &ServerIdleTimes, now: MonoTime) -> u64 {
        let alarm = self.current_alarm(now);
        if alarm.is_none() && server.dropped.is_none() {
            return self.survived.longest_ms(now);
        }
        // What it has shown before the alarm may have changed, as for others.
        let is_current = alarm.is_none_or(|alarm| server.alarm == Some(alarm.began));
        if is_current { server.survived.longest_ms(now) } else { 0 }
    }

    /// Records that a connection to `server` was open after it had been idle for `idle_ms`.
    pub fn record_survived(&mut self, server: &mut ServerIdleTimes, idle_ms: u64, now: MonoTime) {
        self.survived.record(idle_ms, now);
        let alarm = self.current_alarm(now).map(|alarm| alarm.began);
        if alarm.is_some() && server.alarm != alarm {
            server.survived = LongestIdle::default();
            server.alarm = alarm;
        }
        server.survived.record(idle_ms, now);
        server.dropped = server.dropped.filter(|dropped| idle_ms < dropped.idle_ms);
    }

    /// Records that `server` had dropped a connection that had been idle for `idle_ms`.
    pub fn record_dropped(&mut self, server: &mut ServerIdleTimes, idle_ms: u64, now: MonoTime) {
        // Servers that kept connections for as long have changed, so what the others have shown before may
        // have changed, too.
        let has_changed = self.survived_ms(server, now) >= idle_ms;
        if has_changed {
            server.survived = LongestIdle::default();
        }
        let known = self.current_alarm(now).filter(|_| !has_changed);
        let began = known.map_or(now, |alarm| alarm.began);
        self.alarm = Some(Alarm { began, last_drop: now });
        let known = server.dropped.filter(|dropped| dropped.is_recent(now));
        let idle_ms = known.map_or(idle_ms, |dropped| idle_ms.min(dropped.idle_ms));
        server.dropped = Some(DroppedConnection { idle_ms, at: now });
    }

    fn current_alarm(&self, now: MonoTime) -> Option<Alarm> {
        self.alarm.filter(|alarm| now.ms_since(alarm.last_drop) < ALARM_MS)
    }
}

impl ServerIdleTimes {
    fn drops_after(&self, idle_ms: u64, now: MonoTime) -> bool {
        self.dropped.is_some_and(|dropped| dropped.is_recent(now) && idle_ms >= dropped.idle_ms)
    }
}

impl DroppedConnection {
    fn is_recent(&self, now: MonoTime) -> bool {
        now.ms_since(self.at) < DROP_LIFETIME_MS
    }
}
