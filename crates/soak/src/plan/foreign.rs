//! Another writer of the store's list of servers.

use std::ops::Range;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

use super::{Fault, Planned, Size};

/// One run in this many has another writer.
const ONE_IN: u32 = 2;
/// Sets the draw of its entries apart from that of other faults, so that these stay as they were.
const SEED: u64 = 0xCC;
/// How many entries it writes one after the other.
const ENTRIES: Range<u32> = 4..16;
/// How long an entry stands that is removed.
const STANDS_MS: Range<u64> = 100..6_000;
/// One entry in this many is never removed.
const STAYS_ONE_IN: u32 = 3;
/// Entries of the largest size; more would make the stand-in of the store slow.
const MAX_LARGE: u32 = 3;

/// What is wrong with an entry of another writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForeignKind {
    /// It has none of the fields of a server.
    NoServer,
    /// A field has another type.
    WrongType,
    /// Its state is unknown.
    UnknownState,
    /// Its content can't be read.
    Unreadable,
    /// It names a service that no configuration names.
    UnnamedService,
    /// The same, with another port.
    OtherPort,
    /// It has many small values, and as much text as the store takes.
    LargeValues,
    /// It has one long text.
    LargeText,
}

/// When the server of a foreign entry is said to have started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForeignStart {
    /// Before all servers.
    Early,
    /// After all servers.
    Late,
    /// The entry doesn't say.
    Unknown,
}

/// An entry of another writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForeignEntry {
    /// Its number, by which it is written again and removed.
    pub number: u32,
    /// The server whose address it names, if it names one.
    pub server: usize,
    /// What is wrong with it.
    pub kind: ForeignKind,
    /// When its server is said to have started.
    pub start: ForeignStart,
    /// Whether it is never removed.
    pub stays: bool,
}

/// Draws entries of another writer, singly and for all servers at once.
pub(super) fn draw(seed: u64, span: Range<u64>, size: Size) -> Vec<Planned> {
    let mut random = SmallRng::seed_from_u64(seed ^ SEED);
    if !random.random_ratio(1, ONE_IN) || span.is_empty() {
        return Vec::new();
    }
    let servers = size.engines + size.desks;
    let mut large = 0;
    let mut faults = Vec::new();
    for number in 0..random.random_range(ENTRIES) {
        let kind = draw_kind(&mut random, large < MAX_LARGE);
        large += u32::from(matches!(kind, ForeignKind::LargeValues | ForeignKind::LargeText));
        let server = random.random_range(0..servers);
        faults.push(draw_entry(&mut random, &span, number, server, kind));
    }
    let at_all_servers = draw_entry(&mut random, &span, 0, 0, ForeignKind::UnnamedService);
    let first_number = ENTRIES.end;
    for (number, server) in (first_number..).zip(0..servers) {
        let mut planned = at_all_servers.clone();
        if let Fault::ForeignEntry(entry) = &mut planned.fault {
            *entry = ForeignEntry { number, server, start: ForeignStart::Late, ..*entry };
        }
        faults.push(planned);
    }
    faults
}

fn draw_entry(
    random: &mut SmallRng,
    span: &Range<u64>,
    number: u32,
    server: usize,
    kind: ForeignKind,
) -> Planned {
    let at_ms = random.random_range(span.clone());
    let for_ms = random.random_range(STANDS_MS).min(span.end - at_ms);
    let start = match random.random_range(0..3_u32) {
        0 => ForeignStart::Early,
        1 => ForeignStart::Late,
        _ => ForeignStart::Unknown,
    };
    let stays = random.random_ratio(1, STAYS_ONE_IN);
    let entry = ForeignEntry { number, server, kind, start, stays };
    Planned { at_ms, for_ms, fault: Fault::ForeignEntry(entry) }
}

fn draw_kind(random: &mut SmallRng, may_be_large: bool) -> ForeignKind {
    let kinds = if may_be_large { 8 } else { 6 };
    match random.random_range(0..kinds) {
        0 => ForeignKind::NoServer,
        1 => ForeignKind::WrongType,
        2 => ForeignKind::UnknownState,
        3 => ForeignKind::Unreadable,
        4 => ForeignKind::UnnamedService,
        5 => ForeignKind::OtherPort,
        6 => ForeignKind::LargeValues,
        _ => ForeignKind::LargeText,
    }
}
