//! Chooses the engine that takes over a running request from an engine that is being drained.
//!
//! ```
//! use samphirespread_routing::destinations::{Destination, RunToMove, choose_destination};
//!
//! let destination = Destination {
//!     version: 4,
//!     is_far: true,
//!     loads_soon: false,
//!     used_tokens: 9_000,
//!     memory_tokens: 90_000,
//!     waiting: 0,
//!     free_slots: 3,
//! };
//! let run = RunToMove { version: 4, oldest_allowed: 4, footprint_tokens: 900 };
//!
//! assert_eq!(choose_destination(&[Some(destination)], &run), Some(0));
//! ```
//!
//! Running time: one pass over the engines of a service.

/// The fraction of an engine's memory that may be filled by taking over runs.
const MAX_MEMORY_FILL: f64 = 0.85;

/// What the router knows of an engine that accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Destination {
    /// The version of its weights.
    pub version: u64,
    /// Whether it is in another failure domain than the run, so that the copy takes longer.
    pub is_far: bool,
    /// Whether it is among the next engines to be drained.
    pub loads_soon: bool,
    /// Memory of its running requests, including those sent since its last report.
    pub used_tokens: u64,
    /// The size of its memory.
    pub memory_tokens: u64,
    /// Requests that wait there.
    pub waiting: u32,
    /// The number of additional requests that it can run.
    pub free_slots: u32,
}

/// A running request that is to be moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunToMove {
    /// The version of the weights on which it runs.
    pub version: u64,
    /// The lowest version on which requests may still start. It applies here too: if the source
    /// engine fails during the move, the destination sees the run as a request that starts.
    pub oldest_allowed: u64,
    /// The memory that it takes.
    pub footprint_tokens: u64,
}

impl RunToMove {
    /// Whether requests may still be sent to engines with its weights.
    pub fn may_move(&self) -> bool {
        self.version >= self.oldest_allowed
    }
}

/// Returns the index of the engine that should take over a run. Engines in the run's failure domain
/// are preferred, and among these the one with the least used memory.
pub fn choose_destination(destinations: &[Option<Destination>], run: &RunToMove) -> Option<usize> {
    if !run.may_move() {
        return None;
    }
    let eligible = destinations
        .iter()
        .enumerate()
        .filter_map(|(index, destination)| Some((index, destination.as_ref()?)));
    let eligible = eligible.filter(|(_, destination)| can_take(destination, run));
    eligible
        .min_by_key(|(_, destination)| (destination.is_far, destination.used_tokens))
        .map(|(index, _)| index)
}

fn can_take(destination: &Destination, run: &RunToMove) -> bool {
    #[expect(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
    let has_room = (destination.used_tokens + run.footprint_tokens) as f64
        <= MAX_MEMORY_FILL * destination.memory_tokens as f64;
    let has_slot = destination.waiting == 0 && destination.free_slots > 0;
    destination.version == run.version && !destination.loads_soon && has_room && has_slot
}
