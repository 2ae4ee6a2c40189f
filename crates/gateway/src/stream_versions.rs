//! Finds out at which version of its servers' software a stream may go on, and tells other routers of
//! the streams that began here.
//!
//! Each stream is told to two routers and to the sidecars of two engines, which follow from its key. A
//! router that doesn't know a stream asks them, and one more of each, as one of the two may have
//! ended. The sidecars remember it when all routers are killed at once, and the store when all processes
//! are (`stream_segments`): each stream is told to the router that writes it there as well.

use std::{
    cmp::Ordering,
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use samphirespread_core::{prelude::*, rendezvous};
use samphirespread_fabric::{Member, precedes};
use samphirespread_peer::{Datagram, StreamAnswer, StreamQuery, StreamsBegun, encode};
use samphirespread_routing::{
    model::{Configuration, RouteKind},
    software::{KnownStream, SETTLING_MS, SoftwareTag, StreamKey},
};
use tokio::{sync::mpsc, time};

use crate::{conduct, gateway::Core, state::State, stream_segments::MAX_UNWRITTEN};

/// The number of routers, and of sidecars, that are told of a stream.
const HOLDERS: usize = 2;
/// The number of routers, and of sidecars, that are asked for a stream.
const ASKED: usize = HOLDERS + 1;
/// The number of a stream's possible writers that are asked for it, as the routers after a start may
/// not be those that were there before.
const WRITERS_ASKED: usize = 2;
/// One router in so many writes the versions of streams to the store, so that each of 510 gets and
/// writes those of 94 streams a second: 1.5 and 1 KB a second, while a service has several versions.
const ROUTERS_PER_WRITER: usize = 4;
/// Time to wait for answers. The caller waits meanwhile.
const ANSWER_TIMEOUT_MS: u64 = 150;
/// Streams in one datagram, so that it fits into one packet.
const STREAMS_PER_DATAGRAM: usize = 64;
/// The number of questions that wait for answers at the same time.
const MAX_QUESTIONS: usize = 1_000;

/// The questions of this router that wait for answers.
#[derive(Debug, Default)]
pub(crate) struct Questions {
    waiting: Mutex<HashMap<u64, mpsc::Sender<Option<SoftwareTag>>>>,
}

impl Questions {
    /// Registers a question. Returns `None` if too many wait.
    fn register(&self, stream: StreamKey) -> Option<(u64, mpsc::Receiver<Option<SoftwareTag>>)> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.retain(|_, sender| !sender.is_closed());
        if waiting.len() >= MAX_QUESTIONS {
            return None;
        }
        let (sender, receiver) = mpsc::channel(2 * ASKED + WRITERS_ASKED);
        let mut number = u64::from_le_bytes(stream.to_bytes());
        while waiting.contains_key(&number) {
            number = number.wrapping_add(1);
        }
        waiting.insert(number, sender);
        Some((number, receiver))
    }

    /// Passes an answer on to the request that waits for it, if it still does.
    pub(crate) fn answer(&self, answer: &StreamAnswer) {
        let waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(sender) = waiting.get(&answer.question) {
            // More answers than processes that were asked are not expected.
            let _ = sender.try_send(answer.version);
        }
    }
}

/// How long a version counts after it has left the list: the longest time limit of a route that
/// streams, and the time for which a router with an older list may still begin streams at it.
pub(crate) fn memory_ms(configuration: &Configuration, server_drain_ms: u64) -> u64 {
    let streams = configuration.routes.iter().filter(|route| route.kind == RouteKind::Stream);
    let longest_ms = streams.map(|route| route.timeout_ms).max().unwrap_or(0);
    longest_ms + server_drain_ms + SETTLING_MS
}

/// Returns the version at which a stream may go on: what this router knows, or else another one.
/// `None` if nobody knows, so that it must not go on.
pub(crate) async fn find(
    core: &Core,
    service: &str,
    stream: Option<StreamKey>,
) -> Option<SoftwareTag> {
    let (known, holders) = {
        let now = core.now();
        let state = core.state();
        let known = known_version(&state, service, stream, now);
        let asked = stream.map(|stream| {
            let writers = writers_of(&state, stream).take(WRITERS_ASKED);
            let writers = writers.filter(|writer| writer.name != core.name);
            let mut asked: Vec<SocketAddr> = writers.map(|writer| writer.address).collect();
            asked.extend(holders(core, &state, stream, ASKED));
            asked
        });
        (known, asked.unwrap_or_default())
    };
    if known.is_some() {
        return known;
    }
    ask(core, service, stream?, &holders).await
}

/// What this router knows of the version of a stream. Without a key, only the versions that the
/// service has had can tell.
pub(crate) fn known_version(
    state: &State,
    service: &str,
    stream: Option<StreamKey>,
    now: MonoTime,
) -> Option<SoftwareTag> {
    let remembered = stream.and_then(|stream| state.streams.version(stream, now));
    remembered.or_else(|| {
        let list_age_ms = state.reads.servers.age_ms(now);
        state.software.sole_version(service, list_age_ms, now)
    })
}

async fn ask(
    core: &Core,
    service: &str,
    stream: StreamKey,
    holders: &[SocketAddr],
) -> Option<SoftwareTag> {
    let (question, mut answers) = core.stream_questions.register(stream)?;
    let query = StreamQuery { question, service: service.to_owned(), stream };
    let bytes = encode(&Datagram::StreamQuery(query));
    for holder in holders {
        // A question that is not sent is not answered.
        let _ = core.socket.send_to(&bytes, holder).await;
    }
    let first_version = async {
        for _ in holders {
            if let Some(version) = answers.recv().await? {
                return Some(version);
            }
        }
        None
    };
    let timeout = Duration::from_millis(ANSWER_TIMEOUT_MS);
    time::timeout(timeout, first_version).await.ok().flatten()
}

/// Answers another router's question.
pub(crate) fn answer(core: &Core, from: SocketAddr, query: &StreamQuery) {
    let version = known_version(&core.state(), &query.service, Some(query.stream), core.now());
    let answer = StreamAnswer { question: query.question, version };
    // Without an answer, the other router refuses the request.
    let _ = core.socket.try_send_to(&encode(&Datagram::StreamAnswer(answer)), from);
}

/// Records the streams of which another router tells.
pub(crate) fn learn(core: &Core, state: &mut State, begun: &StreamsBegun, now: MonoTime) {
    let until = now.plus_ms(begun.lifetime_ms);
    for known in &begun.streams {
        state.streams.learn(*known, until);
        queue_if_writer(core, state, *known);
    }
}

/// A router that writes the versions of streams to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Writer {
    pub(crate) name: InstanceName,
    address: SocketAddr,
}

/// The routers that write, by the current list of routers: those with most capacity.
pub(crate) fn writers(core: &Core, state: &State) -> Arc<[Writer]> {
    let own = (&core.member, core.addresses.peers);
    let others = state.routers.values().map(|router| (&router.member, router.address));
    let mut routers: Vec<_> = others.chain([own]).collect();
    routers.sort_by(|(one, _), (other, _)| match precedes(one, other) {
        true => Ordering::Less,
        false if precedes(other, one) => Ordering::Greater,
        false => Ordering::Equal,
    });
    routers.truncate(routers.len().div_ceil(ROUTERS_PER_WRITER));
    let writer =
        |(member, address): (&Member, SocketAddr)| Writer { name: member.name.clone(), address };
    routers.into_iter().map(writer).collect()
}

/// The routers that write a stream, or would if those before them weren't there: best first.
fn writers_of(state: &State, stream: StreamKey) -> impl Iterator<Item = &Writer> {
    let writers = &state.stream_writers;
    let ranked = rendezvous::rank(&stream.to_bytes(), writers, |writer| writer.name.as_str());
    ranked.into_iter().map(|index| &writers[index])
}

/// Whether others ask this router for a stream that is in the store.
pub(crate) fn answers_for(core: &Core, state: &State, stream: StreamKey) -> bool {
    writers_of(state, stream).take(WRITERS_ASKED).any(|writer| writer.name == core.name)
}

/// Queues a stream that this router has to write to the store.
fn queue_if_writer(core: &Core, state: &mut State, known: KnownStream) {
    let is_writer = writers_of(state, known.stream).next().is_some_and(|it| it.name == core.name);
    if is_writer && state.unwritten_streams.len() < MAX_UNWRITTEN {
        state.unwritten_streams.push(known);
    }
}

/// The routers and the sidecars that are told of a stream, or asked for it: `count` of each, best first.
fn holders(core: &Core, state: &State, stream: StreamKey, count: usize) -> Vec<SocketAddr> {
    let routers = state.routers.iter().map(|(name, router)| (name.as_str(), router.address));
    // Sidecars listen on the same port as routers. What is sent where none is, is lost.
    let port = core.addresses.peers.port();
    let sidecars = conduct::engines(state, core.now())
        .map(|server| (&*server.entry.id, SocketAddr::new(server.entry.address.ip(), port)));
    let mut holders = best(stream, &routers.collect::<Vec<_>>(), count);
    holders.extend(best(stream, &sidecars.collect::<Vec<_>>(), count));
    holders
}

fn best(stream: StreamKey, candidates: &[(&str, SocketAddr)], count: usize) -> Vec<SocketAddr> {
    let ranked = rendezvous::rank(&stream.to_bytes(), candidates, |(name, _)| name);
    ranked.into_iter().take(count).map(|index| candidates[index].1).collect()
}

/// Returns the datagrams that tell other processes of streams that began here.
pub(crate) fn news(core: &Core, state: &mut State, now: MonoTime) -> Vec<(SocketAddr, Vec<u8>)> {
    let news = state.streams.take_news(state.software.has_several(now), now);
    let lifetime_ms = state.stream_memory_ms();
    let mut by_holder: HashMap<SocketAddr, Vec<KnownStream>> = HashMap::new();
    for known in news {
        let mut told = holders(core, state, known.stream, HOLDERS);
        let writer = writers_of(state, known.stream).next();
        if let Some(writer) = writer.filter(|writer| writer.name != core.name)
            && !told.contains(&writer.address)
        {
            told.push(writer.address);
        }
        for holder in told {
            by_holder.entry(holder).or_default().push(known);
        }
        queue_if_writer(core, state, known);
    }
    let mut datagrams = Vec::new();
    for (holder, streams) in by_holder {
        for batch in streams.chunks(STREAMS_PER_DATAGRAM) {
            let begun = StreamsBegun { lifetime_ms, streams: batch.to_vec() };
            datagrams.push((holder, encode(&Datagram::StreamsBegun(begun))));
        }
    }
    datagrams
}
