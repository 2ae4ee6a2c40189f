//! Single faults of processes, paths, servers, the store and operators.

use std::ops::Range;

use rand::{Rng, rngs::SmallRng, seq::IndexedRandom};

use super::{Fault, Path, PathFault, Process, Size};

/// Requests that a server treats in odd ways.
const ODD_REQUESTS: Range<usize> = 10..200;
/// Clocks are set wrong by up to this much.
const WRONG_CLOCK_MS: i64 = 120_000;

/// Draws one fault.
pub(super) fn draw(random: &mut SmallRng, size: Size) -> Fault {
    let gateway = random.random_range(0..size.gateways);
    let engine = random.random_range(0..size.engines);
    let servers = size.engines + size.desks;
    let server = random.random_range(0..servers);
    let other = (server + random.random_range(1..servers)) % servers;
    let process = if random.random_ratio(2, 3) {
        Process::Gateway(gateway)
    } else {
        Process::Sidecar(engine)
    };
    match random.random_range(0..24_u32) {
        0 | 1 => Fault::Leaves(process),
        2 | 3 => Fault::Dies(process),
        4 | 5 => Fault::Freezes(process),
        6 => Fault::HangUp(process),
        7 => Fault::SettingsChange { gateway, signalled: random.random() },
        8 => {
            let ahead_ms = random.random_range(-WRONG_CLOCK_MS..WRONG_CLOCK_MS);
            Fault::WrongClock { gateway, ahead_ms }
        }
        9..=12 => {
            let paths = [Path::Callers(gateway), Path::Store(gateway), Path::Server(server)];
            let path = *paths.choose(random).unwrap_or(&Path::Server(server));
            Fault::Path(path, draw_path_fault(random))
        }
        13 | 14 => draw_store_fault(random),
        15 => Fault::ServerDown(server),
        16 => Fault::ServerFrozen(server),
        17..=19 => Fault::ServerMisbehaves { server, requests: random.random_range(ODD_REQUESTS) },
        20 => Fault::ServerDrains(server),
        21 => [Fault::EntryLapses(server), Fault::AddressReused { server, by: other }]
            .choose(random)
            .cloned()
            .unwrap_or(Fault::EntryLapses(server)),
        22 => [Fault::KeyWithdrawn, Fault::Reconfigured]
            .choose(random)
            .cloned()
            .unwrap_or(Fault::Reconfigured),
        _ => Fault::WeightsNamed,
    }
}

fn draw_path_fault(random: &mut SmallRng) -> PathFault {
    match random.random_range(0..7_u32) {
        0 => PathFault::Closed,
        1 => PathFault::Reset,
        2 => PathFault::Silent,
        3 => PathFault::SilentToServer,
        4 => PathFault::SilentFromServer,
        5 => PathFault::Down,
        _ => PathFault::Slow(random.random_range(5..400)),
    }
}

fn draw_store_fault(random: &mut SmallRng) -> Fault {
    match random.random_range(0..6_u32) {
        0 => Fault::StoreDown,
        1 => Fault::StoreOverRate,
        2 => Fault::StoreFrozen,
        3 => Fault::StoreSlow(random.random_range(50..900)),
        4 => Fault::StoreLosesAnswers,
        _ => Fault::StoreForgets,
    }
}
