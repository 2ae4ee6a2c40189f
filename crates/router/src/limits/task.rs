//! The task that owns the limiter.

use std::{collections::HashMap, time::Duration};

use bytes::Bytes;
use samphirespread_core::{prelude::*, time::Clock};
use samphirespread_limits::{
    Action, Event, Holder, Limiter, LimitsConfig, PeerMessage, RefuseReason, Snapshot,
};
use tokio::{
    sync::{mpsc, oneshot},
    time::timeout,
};

use super::{Grant, Refusal, UNKNOWN_TEAM_RETRY_MS, carry::Carrier};

/// What the task is asked.
#[derive(Debug)]
pub(super) enum Command {
    /// Something for the limiter itself.
    Event(Event),
    /// A request wants to run.
    Admit {
        team: TeamName,
        tokens: u64,
        commands: mpsc::UnboundedSender<Command>,
        answer: oneshot::Sender<Result<Grant, Refusal>>,
    },
    /// Another router's limiter speaks.
    Peer { message: Bytes, answer: oneshot::Sender<Bytes> },
    /// Hand the shares back.
    Leave { done: oneshot::Sender<()> },
    /// Tell the state.
    Snapshot { answer: oneshot::Sender<Snapshot> },
}

/// A request whose answer is still due.
struct Asked {
    tokens: u64,
    commands: mpsc::UnboundedSender<Command>,
    answer: oneshot::Sender<Result<Grant, Refusal>>,
}

struct Task {
    limiter: Limiter,
    clock: Clock,
    carrier: Carrier,
    asked: HashMap<u64, Asked>,
    peers: HashMap<u64, oneshot::Sender<Bytes>>,
    leaving: Vec<oneshot::Sender<()>>,
    left: bool,
    next_number: u64,
}

/// Runs until the channel closes.
pub(super) async fn run(
    config: LimitsConfig,
    me: Holder,
    incarnation: Incarnation,
    clock: Clock,
    carrier: Carrier,
    mut inbox: mpsc::UnboundedReceiver<Command>,
) {
    let mut task = Task {
        limiter: Limiter::new(config, me, incarnation, clock.now()),
        clock,
        carrier,
        asked: HashMap::new(),
        peers: HashMap::new(),
        leaving: Vec::new(),
        left: false,
        next_number: 0,
    };
    let mut tick_at = clock.now();
    loop {
        let wait = Duration::from_micros(tick_at.us_since(clock.now()));
        match timeout(wait, inbox.recv()).await {
            Ok(Some(command)) => task.command(command),
            Ok(None) => return,
            Err(_) => {
                task.event(Event::Tick);
                tick_at = task.limiter.next_tick(clock.now());
            }
        }
        // A request that has begun to wait may need an earlier tick.
        tick_at = tick_at.min(task.limiter.next_tick(clock.now()));
    }
}

impl Task {
    fn command(&mut self, command: Command) {
        match command {
            Command::Event(event) => self.event(event),
            Command::Admit { team, tokens, commands, answer } => {
                let ticket = self.number();
                self.asked.insert(ticket, Asked { tokens, commands, answer });
                self.event(Event::Admit { ticket, team, tokens });
            }
            Command::Peer { message, answer } => {
                // A sender that is dropped says that the bytes are no message.
                let Ok(message) = PeerMessage::decode(&message) else { return };
                let exchange = self.number();
                self.peers.insert(exchange, answer);
                self.event(Event::Message { exchange, message });
                self.peers.remove(&exchange);
            }
            Command::Leave { done } => {
                self.leaving.push(done);
                self.event(Event::Leave);
                self.report_left();
            }
            Command::Snapshot { answer } => {
                let _ = answer.send(self.limiter.snapshot(self.clock.now()));
            }
        }
    }

    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn event(&mut self, event: Event) {
        let actions = self.limiter.handle(self.clock.now(), event);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Grant { ticket } => self.grant(ticket),
            Action::Refuse { ticket, reason } => self.refuse(ticket, reason),
            Action::Reply { exchange, reply } => {
                if let Some(answer) = self.peers.remove(&exchange)
                    && let Ok(bytes) = reply.encode()
                {
                    let _ = answer.send(bytes.into());
                }
            }
            Action::Send { exchange, to, message } => self.carrier.send(exchange, to, &message),
            Action::Read { call, slot } => self.carrier.read(call, slot),
            Action::Write { call, slot, expect, text } => {
                self.carrier.write(call, slot, expect, text);
            }
            Action::LeaveFinished => {
                self.left = true;
                self.report_left();
            }
        }
    }

    fn grant(&mut self, ticket: u64) {
        let Some(Asked { tokens, commands, answer }) = self.asked.remove(&ticket) else { return };
        let grant = Grant { commands, ticket, reserved_tokens: tokens, unused_tokens: 0 };
        // A caller that has gone used nothing.
        if let Err(Ok(unwanted)) = answer.send(Ok(grant)) {
            unwanted.settle(0);
        }
    }

    fn refuse(&mut self, ticket: u64, reason: RefuseReason) {
        let Some(asked) = self.asked.remove(&ticket) else { return };
        let refusal = match reason {
            RefuseReason::OverLimit { retry_after_ms } => {
                Refusal::RetryAfter { ms: retry_after_ms }
            }
            RefuseReason::ExceedsBurst { burst_tokens } => Refusal::ExceedsBurst { burst_tokens },
            RefuseReason::ExceedsReach { reach_tokens } => Refusal::ExceedsReach { reach_tokens },
            _ => Refusal::RetryAfter { ms: UNKNOWN_TEAM_RETRY_MS },
        };
        let _ = asked.answer.send(Err(refusal));
    }

    fn report_left(&mut self) {
        if self.left {
            for done in self.leaving.drain(..) {
                let _ = done.send(());
            }
        }
    }
}
