//! The messages that processes exchange. Each exchange is one h2 stream, which carries one
//! [`Request`] and the [`Reply`] frames that answer it.

mod output;

use bytes::Bytes;
use samphirespread_core::prelude::*;
use samphirespread_membership::LiveChange;
pub use samphirespread_platform::api::ObjectVersion;
pub use samphirespread_prefix::SampledBlock;
use serde::{Deserialize, Serialize};

pub use self::output::Output;

/// A request, sent by the end that opens an h2 stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Tells the peer the sender's state. It is the first request on every connection and is
    /// repeated while the connection is in use.
    Heartbeat(Hello),
    /// Asks an agent how well it could serve a prompt.
    Lookup(Lookup),
    /// Asks an agent to run an attempt.
    Run(Box<Run>),
    /// Asks an agent for the rest of an attempt's answer.
    Resume(Resume),
    /// Tells an agent that the answer to the attempt is no longer needed.
    Cancel(AttemptId),
    /// Asks for the configuration in force, if it differs from the one that the sender has.
    FetchConfig(FetchConfig),
    /// Sends an agent the part of the configuration that it needs.
    ConfigureAgent(AgentConfig),
    /// Asks for the live list, if it differs from the one that the sender has.
    FetchLiveList(FetchLiveList),
    /// Asks a router about a team's share of its limit. The `limits` crate defines the payload.
    Limits(Bytes),
}

/// A reply. A request is answered with one or more of them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Answers a heartbeat.
    Heartbeat(Hello),
    /// Answers a lookup.
    Lookup(LookupReply),
    /// The attempt was accepted. It is queued or runs already.
    Accepted(Estimate),
    /// The attempt has not run and never will.
    NotRun(NotRun),
    /// A piece of a model's answer.
    Output(Output),
    /// The status and headers of a plain service's answer.
    ServiceHead(ServiceHead),
    /// A piece of the body of a plain service's answer.
    ServiceBody {
        /// The offset of this piece in the body, in bytes.
        offset: u64,
        /// The bytes of this piece.
        bytes: Bytes,
    },
    /// The end of a complete answer.
    Finished(Finished),
    /// The attempt ended without a complete answer.
    Failed(Failed),
    /// The configuration in force, or `None` if the requester has it already.
    Config(Option<ConfigSnapshot>),
    /// The changes since the requester's version of the live list, or `None` if there are none.
    LiveList(Option<LiveChange>),
    /// Answers [`Request::Limits`]. The `limits` crate defines the payload.
    Limits(Bytes),
    /// The request was handled, and there is nothing to return.
    Done,
    /// The request could not be served.
    Refused {
        /// The reason.
        message: String,
    },
}

/// A message with its sequence number in the stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame<T> {
    /// The number of this frame, counted from zero in each direction of the stream.
    pub seq: u64,
    /// The message.
    pub message: T,
}

/// The state of a process: its identity, its configuration and whether it is draining.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The name of the instance.
    pub name: InstanceName,
    /// The incarnation of the instance, which changes with each start of its process.
    pub incarnation: Incarnation,
    /// The generation of the configuration in force.
    pub generation: Generation,
    /// The version of its live list. Zero for a process that has none.
    pub live_version: ObjectVersion,
    /// True if the process is draining.
    pub leaving: bool,
}

/// Asks an agent how well it could serve a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lookup {
    /// A sample of the prompt's blocks in the order of the prompt. It includes the last block.
    pub sampled: Vec<SampledBlock>,
    /// The number of tokens in the whole prompt.
    pub prompt_tokens: u64,
}

/// An agent's estimate of how well it could serve a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Estimate {
    /// The number of leading blocks of the prompt that are cached. In the answer to a lookup, it is
    /// the depth down to which all sampled blocks are cached.
    pub cached_blocks: u32,
    /// The estimated wait for the first token, without the prefill of this prompt.
    pub wait_ms: u32,
    /// The prefill time for each token, used to estimate the cost of missing blocks.
    pub prefill_us_per_token: u32,
    /// Hints for placing prompts with this prefix.
    pub hint: PrefixHint,
}

/// What a prefix's preferred agent has learned about the prefix from the requests that it receives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixHint {
    /// The number of leading blocks that several prompts share.
    pub shared_blocks: u32,
    /// The number of preferred agents that the prefix should have.
    pub replicas: u8,
}

/// Answers a lookup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupReply {
    /// The generation of the agent's configuration. A router with an older one fetches the newer.
    pub generation: Generation,
    /// How well the agent could serve the prompt.
    pub estimate: Estimate,
    /// False if the agent would refuse the attempt because it is draining or its engine is down.
    pub takes_work: bool,
}

/// Asks an agent to run an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The attempt.
    pub attempt: AttemptId,
    /// The fencing number of orders to the engine.
    pub fence: FencingNumber,
    /// The generation of the router's configuration.
    pub generation: Generation,
    /// The team that the request runs for.
    pub team: TeamName,
    /// The team's weight in the agent's queue.
    pub weight: u64,
    /// The priority within the team. Lower values run first.
    pub priority: u8,
    /// The maximum time that the attempt may spend in the agent's queue.
    pub queue_limit_ms: u32,
    /// The work to run.
    pub work: Work,
}

/// The work of an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Work {
    /// A prompt for a model.
    Model(ModelWork),
    /// A call of a plain service.
    Service(ServiceWork),
}

/// A prompt for a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelWork {
    /// The model.
    pub model: ModelName,
    /// The version of the model's weights.
    pub version: WeightsVersion,
    /// The cache salt. The engine reuses cached blocks only between prompts with the same salt.
    pub cache_salt: String,
    /// The whole prompt, followed by the output that has been delivered already.
    pub prompt: String,
    /// The number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// The maximum number of output tokens.
    pub max_output_tokens: u32,
    /// The caller's sampling parameters as a JSON object, passed on unchanged.
    pub sampling: String,
    /// The keys of the prompt's blocks.
    pub blocks: Vec<BlockKey>,
    /// The number of bytes of the prompt in one block.
    pub block_bytes: u32,
}

/// A call of a plain service. It doesn't contain the caller's API key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceWork {
    /// The HTTP method.
    pub method: String,
    /// The path and the query.
    pub path: String,
    /// The request headers that may be forwarded.
    pub headers: Vec<HeaderPair>,
    /// The body.
    pub body: Bytes,
}

/// One HTTP header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderPair {
    /// The name in lower case.
    pub name: String,
    /// The value.
    pub value: Bytes,
}

/// Asks for the rest of an attempt's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// The attempt.
    pub attempt: AttemptId,
    /// The incarnation of the agent that was asked to run the attempt. A later incarnation doesn't
    /// know the attempt, so it must answer [`Failed`] with `may_have_run`, never [`NotRun`].
    pub incarnation: Incarnation,
    /// The number of the first output line that is still missing. In a plain service's answer, the
    /// head is line zero and each piece of the body is one line.
    pub from_seq: u64,
}

/// Tells that an attempt did not run, and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotRun {
    /// The reason.
    pub reason: NotRunReason,
    /// The time after which the router may send the attempt to this agent again.
    pub retry_after_ms: u32,
    /// How well the agent could serve the prompt, used to place the next attempt.
    pub estimate: Estimate,
    /// The generation of the agent's configuration.
    pub generation: Generation,
}

/// The reason why an attempt did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NotRunReason {
    /// The queue is too long.
    Busy,
    /// Too little of the prompt is cached: another agent would have to recompute less.
    Miss,
    /// The process is draining.
    Leaving,
    /// The engine is down or serves other weights.
    EngineDown,
    /// The router's configuration is too old.
    Stale,
    /// The attempt reached its time limit in the queue.
    QueueTimeout,
    /// The agent doesn't know the attempt and has made sure that it never runs.
    Unknown,
}

impl NotRunReason {
    /// Returns the name of the reason in metrics and logs.
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

/// The status and headers of a plain service's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceHead {
    /// The HTTP status.
    pub status: u16,
    /// The response headers that may be forwarded.
    pub headers: Vec<HeaderPair>,
}

/// The end of a complete answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finished {
    /// The number of lines in the whole answer: output lines of a model, or the head and the body
    /// pieces of a plain service. A resumed answer has the same lines.
    pub length: u64,
    /// True if the answer ended because it reached the maximum number of output tokens.
    pub hit_cap: bool,
    /// The number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// The number of prompt tokens served from the prefix cache.
    pub cached_tokens: u64,
    /// The number of tokens generated.
    pub output_tokens: u64,
}

/// Tells that an attempt ended without a complete answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failed {
    /// True if the backend server may have begun to run the attempt.
    pub may_have_run: bool,
    /// A description of the failure for the log.
    pub message: String,
}

/// Asks for the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchConfig {
    /// The generation that the requester has.
    pub have: Generation,
    /// The hashes of the sections that the requester has. The answer leaves these sections out.
    pub sections: Vec<String>,
}

/// The part of the configuration that an agent needs. API keys, rates and routes are not sent to
/// agents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentConfig {
    /// The generation of the configuration's head document.
    pub generation: Generation,
    /// The weights that the agent's engine must serve, if the routes agree on them.
    pub weights: Option<WantedWeights>,
}

/// The weights that an engine must serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WantedWeights {
    /// The model.
    pub model: ModelName,
    /// The version of the model's weights.
    pub version: WeightsVersion,
}

/// Asks for the live list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchLiveList {
    /// The version that the requester has.
    pub have: ObjectVersion,
}

/// A configuration as it is sent between processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    /// The generation of the head document.
    pub generation: Generation,
    /// The text of the head document.
    pub head: String,
    /// The texts of its sections, except for those that the requester has.
    pub sections: Vec<String>,
}
