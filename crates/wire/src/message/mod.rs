//! Typed messages. Every connection is one h2 connection; each exchange is one h2 stream.

mod output;

use bytes::Bytes;
use samphirespread_core::prelude::*;
use samphirespread_membership::LiveChange;
pub use samphirespread_platform::api::ObjectVersion;
pub use samphirespread_prefix::SampledBlock;
use serde::{Deserialize, Serialize};

pub use self::output::Output;

/// What the opener of an h2 stream sends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// First on every connection, and then at an interval.
    Heartbeat(Hello),
    /// Asks an agent how well it could serve a prompt.
    Lookup(Lookup),
    /// Asks an agent to run an attempt.
    Run(Box<Run>),
    /// Asks an agent for the rest of an attempt's answer.
    Resume(Resume),
    /// Tells an agent that nobody waits for the attempt any more.
    Cancel(AttemptId),
    /// Asks for the configuration in force, unless it is the one named.
    FetchConfig(FetchConfig),
    /// Tells an agent what it needs of a configuration.
    TellAgent(AgentConfig),
    /// Asks for the live list, unless it is the one named.
    FetchLiveList(FetchLiveList),
    /// Asks a router about a team's share; the payload belongs to `limits`.
    Limits(Bytes),
}

/// What the other side answers, one or more frames.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Answers a heartbeat.
    Heartbeat(Hello),
    /// Answers a lookup.
    Lookup(LookupReply),
    /// The attempt was accepted and waits or runs.
    Accepted(Standing),
    /// The attempt did not run and never will.
    NotRun(NotRun),
    /// A piece of the answer of a model.
    Output(Output),
    /// The head of the answer of a plain service.
    ServiceHead(ServiceHead),
    /// A piece of the body of a plain service's answer.
    ServiceBody {
        /// Bytes before this piece.
        offset: u64,
        /// The piece.
        bytes: Bytes,
    },
    /// The end of a complete answer.
    Finished(Finished),
    /// The attempt ended without a complete answer.
    Failed(Failed),
    /// The configuration in force, or `None` if it is the one named.
    Config(Option<ConfigSnapshot>),
    /// What the asker's live list lacks, or `None` if nothing.
    LiveList(Option<LiveChange>),
    /// The answer of `limits`.
    Limits(Bytes),
    /// The request was understood and there is nothing to say.
    Done,
    /// The request could not be served.
    Refused {
        /// Why.
        message: String,
    },
}

/// One message with its place in the stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame<T> {
    /// Counts the frames of this direction of the stream from zero.
    pub seq: u64,
    /// The message.
    pub message: T,
}

/// Who speaks, and which configuration it has in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The speaker.
    pub name: InstanceName,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its configuration.
    pub generation: Generation,
    /// Its live list; zero for a process that has none.
    pub live_version: ObjectVersion,
    /// Whether it is draining.
    pub leaving: bool,
}

/// Asks an agent how well it could serve a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lookup {
    /// A few blocks of the prompt, shallowest first and the last one among them.
    pub sampled: Vec<SampledBlock>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
}

/// How well an agent could serve a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// Leading blocks of the prompt that are cached; in the answer to a lookup, the depth down to
    /// which all sampled blocks are.
    pub cached_blocks: u32,
    /// Estimated wait for the first token, without the prefill of this prompt.
    pub wait_ms: u32,
    /// Prefill speed for estimating the cost of missing blocks.
    pub prefill_us_per_token: u32,
    /// Hints for placing prompts with this prefix.
    pub hint: PrefixHint,
}

/// What a home agent knows of a prefix from the traffic that it sees.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixHint {
    /// Leading blocks that several prompts share.
    pub shared_blocks: u32,
    /// Homes that the prefix deserves.
    pub replicas: u8,
}

/// Answers a lookup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupReply {
    /// The agent's generation, so that a router that lags asks for more.
    pub generation: Generation,
    /// What the agent could do.
    pub standing: Standing,
    /// False when the agent would refuse: leaving, or its engine is down.
    pub takes_work: bool,
}

/// Asks an agent to run an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The attempt.
    pub attempt: AttemptId,
    /// Fences orders to the engine.
    pub fence: FencingNumber,
    /// The router's configuration.
    pub generation: Generation,
    /// The team that the request runs for.
    pub team: TeamName,
    /// The team's weight in the agent's queue.
    pub weight: u64,
    /// Lower runs first within the team.
    pub priority: u8,
    /// Time at most in the agent's queue.
    pub queue_limit_ms: u32,
    /// What to run.
    pub work: Work,
}

/// What to run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Work {
    /// A model.
    Model(ModelWork),
    /// A call of a plain service.
    Service(ServiceWork),
}

/// A prompt for a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelWork {
    /// The model.
    pub model: ModelName,
    /// The weights version.
    pub version: WeightsVersion,
    /// The engine reuses blocks only under the same salt.
    pub cache_salt: String,
    /// The whole prompt, with output already delivered appended.
    pub prompt: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Output tokens at most.
    pub max_output_tokens: u32,
    /// The caller's sampling parameters as a JSON object, passed on as they came.
    pub sampling: String,
    /// The keys of the prompt's blocks.
    pub blocks: Vec<BlockKey>,
    /// Bytes of prompt in one block.
    pub block_bytes: u32,
}

/// A call of a plain service, without the caller's key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceWork {
    /// The HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers that may pass.
    pub headers: Vec<HeaderPair>,
    /// The body.
    pub body: Bytes,
}

/// One HTTP header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderPair {
    /// Lower-case name.
    pub name: String,
    /// The value.
    pub value: Bytes,
}

/// Asks for the rest of an attempt's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// The attempt.
    pub attempt: AttemptId,
    /// The run of the agent that was asked to run the attempt. Another run knows nothing of the attempt, so
    /// it must answer [`Failed`] with `may_have_run`, never [`NotRun`].
    pub incarnation: Incarnation,
    /// The first output line still missing. In the answer of a plain service the head is line
    /// zero and each piece of the body is one line.
    pub from_seq: u64,
}

/// Why an attempt did not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotRun {
    /// The reason.
    pub reason: NotRunReason,
    /// When to come back to this agent.
    pub retry_after_ms: u32,
    /// What the agent could do, for placing the next attempt.
    pub standing: Standing,
    /// The agent's generation.
    pub generation: Generation,
}

/// Why an attempt did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NotRunReason {
    /// The queue is too long.
    Busy,
    /// Another agent would have to recompute less.
    Miss,
    /// The process is leaving.
    Leaving,
    /// The engine is down or serves other weights.
    EngineDown,
    /// The router's configuration is too old.
    Stale,
    /// The attempt's time in the queue ran out.
    QueueTimeout,
    /// The agent knows nothing of the attempt and has made sure that it never runs.
    Unknown,
}

impl NotRunReason {
    /// The reason as metrics and logs name it.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Miss => "miss",
            Self::Leaving => "leaving",
            Self::EngineDown => "engine_down",
            Self::Stale => "stale",
            Self::QueueTimeout => "queue_timeout",
            Self::Unknown => "unknown",
        }
    }
}

/// The head of the answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceHead {
    /// HTTP status.
    pub status: u16,
    /// Headers that may pass.
    pub headers: Vec<HeaderPair>,
}

/// The end of a complete answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finished {
    /// Lines of the whole answer: output lines of a model, or head and body pieces of a plain
    /// service. A resumed answer has the same lines again.
    pub length: u64,
    /// True when the cap on output tokens ended the answer.
    pub hit_cap: bool,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Prompt tokens served from the prefix cache.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub output_tokens: u64,
}

/// The attempt ended without a complete answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failed {
    /// Whether the backend server may have begun to run it.
    pub may_have_run: bool,
    /// What went wrong, in words for the log.
    pub message: String,
}

/// Asks for the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchConfig {
    /// The generation that the asker has.
    pub have: Generation,
    /// The hashes of the sections that the asker has, which the answer leaves out.
    pub sections: Vec<String>,
}

/// What an agent needs of a configuration. Keys, rates and routes stay with the routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentConfig {
    /// The generation of the head.
    pub generation: Generation,
    /// What the agent's engine is to serve, if the routes agree on it.
    pub weights: Option<WantedWeights>,
}

/// The weights that an engine is to serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WantedWeights {
    /// The model.
    pub model: ModelName,
    /// Its version.
    pub version: WeightsVersion,
}

/// Asks for the live list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchLiveList {
    /// The version that the asker has.
    pub have: ObjectVersion,
}

/// A configuration between processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    /// The generation of the head.
    pub generation: Generation,
    /// The text of the head document.
    pub head: String,
    /// The texts of its sections, without those that the asker has.
    pub sections: Vec<String>,
}
