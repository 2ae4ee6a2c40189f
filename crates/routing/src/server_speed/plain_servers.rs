//! Choice of a plain server.

use super::{Draws, Pace};
use crate::choice::{self, MS_PER_CALL, ServerView, server_cost_ms};

/// What the router knows of one plain server, with its pace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PacedServer {
    /// Everything except its pace.
    pub view: ServerView,
    /// The part of its load that this router has sent.
    pub own_load: u32,
    /// Its expected pace; `None` if it has never stated one.
    pub pace: Option<Pace>,
}

impl PacedServer {
    fn speed(&self) -> f64 {
        self.pace.unwrap_or(Pace::NORMAL).speed()
    }

    /// Returns the time for the work that the server has to do, including the new request, and the
    /// penalties, which don't depend on its pace.
    fn cost_ms(&self) -> f64 {
        let load_ms = server_cost_ms(&ServerView { is_near: true, is_avoided: false, ..self.view });
        let penalties_ms = server_cost_ms(&ServerView { load: 0, slots: 1, ..self.view });
        let pace = self.pace.unwrap_or(Pace::NORMAL).ratio();
        (load_ms + MS_PER_CALL) * pace + penalties_ms
    }

    /// Whether this router alone has sent it as many requests as it runs at once.
    fn is_filled_by_own(&self) -> bool {
        self.own_load >= self.view.slots
    }
}

/// Returns the index of the server for one request.
///
/// If no server has stated its pace, it is the one with the lowest cost. Otherwise two servers are
/// drawn within each reach (the router's failure domain and the others), with a chance in proportion
/// to their speed, and the one with the lowest cost of the drawn ones is chosen. The two may be the
/// same one. Thus a server gets less than twice its share by speed from routers that all see it
/// cheapest.
pub fn choose_server(servers: &[Option<PacedServer>], draws: Draws) -> Option<usize> {
    if servers.iter().flatten().all(|server| server.pace.is_none()) {
        let views: Vec<Option<ServerView>> =
            servers.iter().map(|server| server.map(|server| server.view)).collect();
        return choice::choose_server(&views);
    }
    let standing = best_standing(servers)?;
    let drawn = [true, false].into_iter().flat_map(|is_near| {
        let in_reach = Candidates { servers, standing, is_near };
        draws.0.into_iter().filter_map(move |point| in_reach.drawn(point))
    });
    let costs = drawn.map(|index| (index, servers[index].map_or(f64::MAX, |it| it.cost_ms())));
    costs.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(index, _)| index)
}

/// What the router itself has seen of a server. It is always used, as it is not stale and differs
/// between routers. The best comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    HasRoom,
    FilledByOwn,
    Avoided,
}

impl Standing {
    fn of(server: &PacedServer) -> Self {
        match server {
            _ if server.view.is_avoided => Self::Avoided,
            _ if server.is_filled_by_own() => Self::FilledByOwn,
            _ => Self::HasRoom,
        }
    }
}

fn best_standing(servers: &[Option<PacedServer>]) -> Option<Standing> {
    servers.iter().flatten().map(Standing::of).min()
}

/// The servers of one reach from which two are drawn.
#[derive(Clone, Copy, Debug)]
struct Candidates<'a> {
    servers: &'a [Option<PacedServer>],
    standing: Standing,
    is_near: bool,
}

impl Candidates<'_> {
    fn drawn(&self, point: f64) -> Option<usize> {
        let mut left = point * self.speeds().map(|(_, speed)| speed).sum::<f64>();
        let mut last = None;
        for (index, speed) in self.speeds() {
            last = Some(index);
            left -= speed;
            if left < 0.0 {
                break;
            }
        }
        last
    }

    fn speeds(&self) -> impl Iterator<Item = (usize, f64)> {
        let all = self.servers.iter().enumerate();
        let present = all.filter_map(|(index, server)| Some((index, server.as_ref()?)));
        let is_drawn = |server: &PacedServer| {
            server.view.is_near == self.is_near && Standing::of(server) == self.standing
        };
        let drawn = present.filter(move |(_, server)| is_drawn(server));
        drawn.map(|(index, server)| (index, server.speed()))
    }
}
