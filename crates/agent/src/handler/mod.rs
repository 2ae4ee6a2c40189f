//! Answers the requests of routers.

use std::sync::{Arc, atomic::Ordering};

use samphirespread_core::prelude::*;
use samphirespread_wire::{
    Handler, ReplySender,
    message::{AgentConfig, Reply, Request, Run},
};
use slog::{debug, info};

use crate::{
    journal::Read,
    shared::{AttemptHandle, Shared, failed},
};

/// Answers the requests of peers. Clones share the state of the agent.
#[derive(Clone, Debug)]
pub(crate) struct AgentHandler {
    pub(crate) shared: Arc<Shared>,
}

impl Handler for AgentHandler {
    async fn handle(&self, request: Request, mut replies: ReplySender) {
        let reply = match request {
            Request::Heartbeat(_) => Reply::Heartbeat(self.shared.hello()),
            Request::Lookup(lookup) => Reply::Lookup(self.shared.lookup(&lookup)),
            Request::Run(run) => return self.run(run, replies).await,
            Request::Resume(resume) => match self.shared.resume(resume) {
                Ok(handle) => return self.follow(&handle, resume.from_seq, replies).await,
                Err(reply) => reply,
            },
            Request::Cancel(id) => {
                self.shared.cancel(id);
                Reply::Done
            }
            Request::ConfigureAgent(config) => {
                self.apply_config(&config);
                Reply::Done
            }
            Request::FetchConfig(_) | Request::FetchLiveList(_) | Request::Limits(_) => {
                Reply::Refused { message: "an agent doesn't answer this".to_owned() }
            }
        };
        // The peer may have disconnected; it then needs no reply.
        let _ = replies.send(&reply).await;
    }
}

impl AgentHandler {
    async fn run(&self, run: Box<Run>, mut replies: ReplySender) {
        let id = run.attempt;
        debug!(self.shared.log, "attempt came";
            "request" => id.request.to_string(),
            "attempt" => id.number,
            "team" => run.team.as_str());
        match self.shared.admit(run) {
            Ok((handle, standing)) => {
                let guard = FollowerGuard { shared: &self.shared, id };
                if replies.send(&Reply::Accepted(standing)).await.is_ok() {
                    self.relay(&handle, 0, &mut replies).await;
                }
                drop(guard);
            }
            // The peer may have disconnected; it then needs no reply.
            Err(reply) => drop(replies.send(&reply).await),
        }
    }

    async fn follow(&self, handle: &AttemptHandle, from_seq: u64, mut replies: ReplySender) {
        let _guard = FollowerGuard { shared: &self.shared, id: handle.id };
        self.relay(handle, from_seq, &mut replies).await;
    }

    /// Sends the answer from line `from_seq` on, as it grows, until it ends or the peer
    /// disconnects.
    async fn relay(&self, handle: &AttemptHandle, from_seq: u64, replies: &mut ReplySender) {
        let mut changed = handle.subscribe();
        let mut next_seq = from_seq;
        loop {
            let end = match handle.read(next_seq) {
                Read::Lines(lines) => {
                    for line in &lines {
                        if replies.send(line).await.is_err() {
                            return;
                        }
                        self.shared.sent_replies.fetch_add(1, Ordering::Relaxed);
                    }
                    next_seq += lines.len() as u64;
                    continue;
                }
                Read::Pending => {
                    tokio::select! {
                        changed = changed.changed() => match changed {
                            Ok(()) => continue,
                            Err(_) => failed("the attempt was given up"),
                        },
                        () = replies.closed() => return,
                    }
                }
                Read::End(reply) => reply,
                Read::Dropped => failed("the line is no longer kept"),
            };
            // A peer that has disconnected may come back for the reply.
            if replies.send(&end).await.is_ok() {
                handle.mark_end_sent();
            }
            return;
        }
    }

    fn apply_config(&self, config: &AgentConfig) {
        if !self.shared.lock().configuration.apply(self.shared.clock.now(), config) {
            return;
        }
        info!(self.shared.log, "configuration in force"; "generation" => config.generation.0);
        self.shared.metrics.set_generation(config.generation);
    }
}

/// Detaches a follower from its attempt when dropped.
struct FollowerGuard<'a> {
    shared: &'a Arc<Shared>,
    id: AttemptId,
}

impl Drop for FollowerGuard<'_> {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        self.shared.lock().attempts.detach(now, self.id);
    }
}
