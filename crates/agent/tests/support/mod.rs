//! Test fixtures: an agent on ports chosen by the operating system, and a router's connection to
//! it.

#![allow(dead_code)]

use std::{net::SocketAddr, time::Duration};

use samphirespread_agent::{Agent, AgentError};
use samphirespread_core::prelude::*;
use samphirespread_prefix::{PrefixHasher, sample};
use samphirespread_settings::AgentSettings;
use samphirespread_standin::text::prompt_tokens;
use samphirespread_wire::{
    Connection, HelloSource, ReplyStream, Secret, WireConfig,
    message::{
        Finished, Hello, Lookup, LookupReply, ModelWork, NotRun, ObjectVersion, Reply, Request,
        Resume, Run, Work,
    },
};
use slog::{Discard, Logger, o};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

pub(crate) const SECRET: &str = "a-secret-of-the-agent-tests";
pub(crate) const BLOCK_BYTES: u32 = 8_192;

#[derive(Clone)]
pub(crate) struct Router;

impl HelloSource for Router {
    fn hello(&self) -> Hello {
        Hello {
            name: InstanceName::new("r1"),
            incarnation: Incarnation(1),
            generation: Generation(0),
            live_version: ObjectVersion::default(),
            leaving: false,
        }
    }

    fn receive_hello(&self, _: &Hello) {}
}

/// An agent that runs within the test.
pub(crate) struct TestAgent {
    pub(crate) peers: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) shutdown: CancellationToken,
    pub(crate) running: JoinHandle<Result<(), AgentError>>,
}

/// Returns the settings of an agent for a backend server, with `more` lines at the end.
pub(crate) fn settings_text(kind: &str, backend: SocketAddr, more: &str) -> String {
    format!(
        "[instance]\nname = a1\nregion = khomas\nfailure_domain = khomas-1\n\
         [listen]\npeers = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
         [backend]\nkind = {kind}\naddress = {backend}\nset = drafting\n\
         [security]\npeer_secret = {SECRET}\n{more}"
    )
}

impl TestAgent {
    pub(crate) async fn start(kind: &str, backend: SocketAddr, more: &str) -> Self {
        let settings = AgentSettings::parse(&settings_text(kind, backend, more)).unwrap();
        let agent = Agent::bind(settings, Logger::root(Discard, o!())).await.unwrap();
        let (peers, admin) = (agent.peers_address(), agent.admin_address());
        let shutdown = CancellationToken::new();
        let running = tokio::spawn(agent.run(shutdown.clone()));
        Self { peers, admin, shutdown, running }
    }

    /// Opens a connection as a router, and waits until the agent accepts work.
    pub(crate) async fn connect(&self) -> Connection {
        let connection = dial(self.peers).await;
        until(async || lookup(&connection, &[]).await.takes_work).await;
        connection
    }
}

pub(crate) async fn dial(address: SocketAddr) -> Connection {
    let config = WireConfig::new(Secret::new(SECRET));
    Connection::dial(&address.to_string(), &config, Router).await.unwrap()
}

/// Waits until a condition holds.
pub(crate) async fn until(mut condition: impl AsyncFnMut() -> bool) {
    while !condition().await {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

pub(crate) async fn lookup(connection: &Connection, blocks: &[BlockKey]) -> LookupReply {
    let lookup = Lookup { sampled: sample(blocks), prompt_tokens: 0 };
    match connection.call(&Request::Lookup(lookup)).await.unwrap() {
        Reply::Lookup(reply) => reply,
        other => panic!("{other:?} to a lookup"),
    }
}

pub(crate) fn attempt(serial: u64) -> AttemptId {
    AttemptId { request: RequestId { origin: 1, serial }, number: 0 }
}

pub(crate) fn run(serial: u64, work: Work) -> Run {
    Run {
        attempt: attempt(serial),
        fence: FencingNumber(1),
        generation: Generation(0),
        team: TeamName::new("desk"),
        weight: 100,
        priority: 0,
        queue_limit_ms: 10_000,
        work,
    }
}

pub(crate) fn model_work(prompt: &str, max_output_tokens: u32) -> ModelWork {
    let (team, model) = (TeamName::new("desk"), ModelName::new("reader"));
    let version = WeightsVersion::new("v1");
    let hasher = PrefixHasher::new(&team, &model, &version).block_bytes(BLOCK_BYTES).unwrap();
    ModelWork {
        model,
        version,
        cache_salt: hasher.cache_salt().to_owned(),
        prompt: prompt.to_owned(),
        prompt_tokens: prompt_tokens(prompt),
        max_output_tokens,
        sampling: "{}".to_owned(),
        blocks: hasher.blocks(prompt.as_bytes()),
        block_bytes: BLOCK_BYTES,
    }
}

pub(crate) fn model_run(serial: u64, prompt: &str, max_output_tokens: u32) -> Run {
    run(serial, Work::Model(model_work(prompt, max_output_tokens)))
}

pub(crate) async fn open_run(connection: &Connection, run: &Run) -> ReplyStream {
    connection.open(&Request::Run(Box::new(run.clone()))).await.unwrap()
}

pub(crate) async fn open_resume(
    connection: &Connection,
    attempt: AttemptId,
    from_seq: u64,
) -> ReplyStream {
    let incarnation = connection.peer().incarnation;
    connection.open(&Request::Resume(Resume { attempt, incarnation, from_seq })).await.unwrap()
}

/// A complete answer of a model.
#[derive(Debug, Default)]
pub(crate) struct Answer {
    pub(crate) text: String,
    pub(crate) lines: Vec<u64>,
    pub(crate) end: Option<Reply>,
}

impl Answer {
    pub(crate) fn finished(&self) -> &Finished {
        match &self.end {
            Some(Reply::Finished(finished)) => finished,
            other => panic!("ended with {other:?}"),
        }
    }

    pub(crate) fn not_run(&self) -> &NotRun {
        match &self.end {
            Some(Reply::NotRun(not_run)) => not_run,
            other => panic!("ended with {other:?}"),
        }
    }

    pub(crate) fn may_have_run(&self) -> bool {
        match &self.end {
            Some(Reply::Failed(failed)) => failed.may_have_run,
            other => panic!("ended with {other:?}"),
        }
    }
}

/// Reads an answer to its end.
pub(crate) async fn read_answer(replies: &mut ReplyStream) -> Answer {
    let mut answer = Answer::default();
    while let Some(reply) = replies.next().await.unwrap() {
        match reply {
            Reply::Accepted(_) => {}
            Reply::Output(output) => {
                answer.lines.push(output.seq);
                answer.text.push_str(&output.text);
            }
            end => answer.end = Some(end),
        }
    }
    answer
}

/// Reads up to `count` output lines.
pub(crate) async fn read_lines(replies: &mut ReplyStream, count: usize) -> String {
    let mut text = String::new();
    let mut lines = 0;
    while lines < count {
        if let Some(Reply::Output(output)) = replies.next().await.unwrap() {
            text.push_str(&output.text);
            lines += 1;
        }
    }
    text
}
