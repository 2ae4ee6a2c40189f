//! Which engine takes a run off one that is to be emptied.
//!
//! ```
//! use samphirespread_routing::hosts::{Host, RunToMove, choose_host};
//!
//! let host = Host { version: 4, is_far: true, loads_soon: false, used_tokens: 9_000, memory_tokens: 90_000,
//!     waiting: 0, free_slots: 3 };
//! let run = RunToMove { version: 4, oldest_allowed: 4, footprint_tokens: 900 };
//!
//! assert_eq!(choose_host(&[Some(host)], &run), Some(0));
//! ```
//!
//! Cost: one pass over the engines of a service.

/// The part of an engine's memory up to which it takes runs of others.
const COMFORTABLE_PART: f64 = 0.85;

/// An engine that takes requests, as the router sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Host {
    /// The weights that it holds.
    pub version: u64,
    /// Whether it is in another failure domain than the run, so that memory takes longer to copy.
    pub is_far: bool,
    /// Whether it is among the next to be emptied itself.
    pub loads_soon: bool,
    /// Memory that its runs hold, with what was sent since it told.
    pub used_tokens: u64,
    /// All of its memory.
    pub memory_tokens: u64,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it could run besides.
    pub free_slots: u32,
}

/// A run that is to be moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunToMove {
    /// The weights on which it runs.
    pub version: u64,
    /// The lowest version on which requests may still begin. To the engine that gets it, a run whose engine dies
    /// while it is moved is one that begins.
    pub oldest_allowed: u64,
    /// Memory that it takes.
    pub footprint_tokens: u64,
}

impl RunToMove {
    /// Whether requests may still be sent to engines with its weights.
    pub fn may_move(&self) -> bool {
        self.version >= self.oldest_allowed
    }
}

/// The index of the engine that is to take a run: a near one that holds least.
pub fn choose_host(hosts: &[Option<Host>], run: &RunToMove) -> Option<usize> {
    if !run.may_move() {
        return None;
    }
    let able = hosts.iter().enumerate().filter_map(|(index, host)| Some((index, host.as_ref()?)));
    let able = able.filter(|(_, host)| takes(host, run));
    able.min_by_key(|(_, host)| (host.is_far, host.used_tokens)).map(|(index, _)| index)
}

fn takes(host: &Host, run: &RunToMove) -> bool {
    #[expect(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
    let has_room = (host.used_tokens + run.footprint_tokens) as f64
        <= COMFORTABLE_PART * host.memory_tokens as f64;
    let has_slot = host.waiting == 0 && host.free_slots > 0;
    host.version == run.version && !host.loads_soon && has_room && has_slot
}
