//! The task that owns the limiter: passes commands to it as events and executes its actions.

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

use super::{Grant, Refusal, UNKNOWN_TEAM_RETRY_MS, executor::ActionExecutor};

/// A command to the task.
#[derive(Debug)]
pub(super) enum Command {
    /// An event for the limiter.
    Event(Event),
    /// Asks for the admission of a request.
    Admit {
        team: TeamName,
        tokens: u64,
        commands: mpsc::UnboundedSender<Command>,
        answer: oneshot::Sender<Result<Grant, Refusal>>,
    },
    /// Delivers a message from another router's limiter.
    Peer { message: Bytes, answer: oneshot::Sender<Bytes> },
    /// Asks the limiter to hand its shares to other routers.
    Leave { done: oneshot::Sender<()> },
    /// Asks for the limiter's state.
    Snapshot { answer: oneshot::Sender<Snapshot> },
}

/// A request that the limiter has neither granted nor refused yet.
struct Queued {
    tokens: u64,
    commands: mpsc::UnboundedSender<Command>,
    answer: oneshot::Sender<Result<Grant, Refusal>>,
}

struct Task {
    limiter: Limiter,
    clock: Clock,
    executor: ActionExecutor,
    queued: HashMap<u64, Queued>,
    peer_replies: HashMap<u64, oneshot::Sender<Bytes>>,
    leave_waiters: Vec<oneshot::Sender<()>>,
    has_left: bool,
    last_id: u64,
}

/// Runs until the channel closes.
pub(super) async fn run(
    config: LimitsConfig,
    own_holder: Holder,
    incarnation: Incarnation,
    clock: Clock,
    executor: ActionExecutor,
    mut inbox: mpsc::UnboundedReceiver<Command>,
) {
    let mut task = Task {
        limiter: Limiter::new(config, own_holder, incarnation, clock.now()),
        clock,
        executor,
        queued: HashMap::new(),
        peer_replies: HashMap::new(),
        leave_waiters: Vec::new(),
        has_left: false,
        last_id: 0,
    };
    let mut tick_at = clock.now();
    loop {
        let wait = Duration::from_micros(tick_at.us_since(clock.now()));
        match timeout(wait, inbox.recv()).await {
            Ok(Some(command)) => task.handle_command(command),
            Ok(None) => return,
            Err(_) => {
                task.handle_event(Event::Tick);
                tick_at = task.limiter.next_tick(clock.now());
            }
        }
        // A command may have made an earlier tick necessary, such as a request that now waits.
        tick_at = tick_at.min(task.limiter.next_tick(clock.now()));
    }
}

impl Task {
    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Event(event) => self.handle_event(event),
            Command::Admit { team, tokens, commands, answer } => {
                let ticket = self.allocate_id();
                self.queued.insert(ticket, Queued { tokens, commands, answer });
                self.handle_event(Event::Admit { ticket, team, tokens });
            }
            Command::Peer { message, answer } => {
                // Dropping the sender reports that the bytes are not a valid message.
                let Ok(message) = PeerMessage::decode(&message) else { return };
                let exchange = self.allocate_id();
                self.peer_replies.insert(exchange, answer);
                self.handle_event(Event::Message { exchange, message });
                self.peer_replies.remove(&exchange);
            }
            Command::Leave { done } => {
                self.leave_waiters.push(done);
                self.handle_event(Event::Leave);
                self.notify_leave_waiters();
            }
            Command::Snapshot { answer } => {
                let _ = answer.send(self.limiter.snapshot(self.clock.now()));
            }
        }
    }

    fn allocate_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn handle_event(&mut self, event: Event) {
        let actions = self.limiter.handle(self.clock.now(), event);
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Grant { ticket } => self.grant(ticket),
            Action::Refuse { ticket, reason } => self.refuse(ticket, reason),
            Action::Reply { exchange, reply } => {
                if let Some(answer) = self.peer_replies.remove(&exchange)
                    && let Ok(bytes) = reply.encode()
                {
                    let _ = answer.send(bytes.into());
                }
            }
            Action::Send { exchange, to, message } => self.executor.send(exchange, to, &message),
            Action::Read { call, slot } => self.executor.read(call, slot),
            Action::Write { call, slot, expect, text } => {
                self.executor.write(call, slot, expect, text);
            }
            Action::LeaveFinished => {
                self.has_left = true;
                self.notify_leave_waiters();
            }
        }
    }

    fn grant(&mut self, ticket: u64) {
        let Some(Queued { tokens, commands, answer }) = self.queued.remove(&ticket) else { return };
        let grant = Grant { commands, ticket, reserved_tokens: tokens, unused_tokens: 0 };
        // The caller has disconnected and used no tokens.
        if let Err(Ok(unwanted)) = answer.send(Ok(grant)) {
            unwanted.settle(0);
        }
    }

    fn refuse(&mut self, ticket: u64, reason: RefuseReason) {
        let Some(queued) = self.queued.remove(&ticket) else { return };
        let refusal = match reason {
            RefuseReason::OverLimit { retry_after_ms } => {
                Refusal::RetryAfter { ms: retry_after_ms }
            }
            RefuseReason::ExceedsBurst { burst_tokens } => Refusal::ExceedsBurst { burst_tokens },
            RefuseReason::ExceedsReach { reach_tokens } => Refusal::ExceedsReach { reach_tokens },
            _ => Refusal::RetryAfter { ms: UNKNOWN_TEAM_RETRY_MS },
        };
        let _ = queued.answer.send(Err(refusal));
    }

    fn notify_leave_waiters(&mut self) {
        if self.has_left {
            for done in self.leave_waiters.drain(..) {
                let _ = done.send(());
            }
        }
    }
}
