//! Executes the limiter's actions that involve other routers or the platform.

use std::time::Duration;

use bytes::Bytes;
use samphirespread_limits::{
    Call, Event, Holder, ObjectState, PeerMessage, PeerReply, WriteOutcome, table_key,
};
use samphirespread_platform::{Platform, PlatformError, StorePlatform, api::ObjectVersion};
use samphirespread_wire::{
    Pool,
    message::{Reply, Request},
};
use tokio::{sync::mpsc, time::timeout};

use super::task::Command;
use crate::state::Identity;

/// Time after which a message is reported to the limiter as unanswered. A later answer is still
/// passed on.
const ANSWER_TIMEOUT_MS: u64 = 50;

/// Sends messages to other routers and calls the platform, each in its own task.
pub(super) struct ActionExecutor {
    pub(super) pool: Pool<Identity>,
    pub(super) platform: StorePlatform,
    /// Weak, so that the channel closes once the last [`super::Admission`] and [`super::Grant`] are
    /// dropped.
    pub(super) commands: mpsc::WeakUnboundedSender<Command>,
    pub(super) silence_timeout_ms: u64,
}

impl ActionExecutor {
    /// Sends a message to another router and reports its reply, or that there is none.
    pub(super) fn send(&self, exchange: u64, to: Holder, message: &PeerMessage) {
        let commands = self.commands.clone();
        let Ok(bytes) = message.encode() else { return };
        let pool = self.pool.clone();
        let total_limit = Duration::from_millis(self.silence_timeout_ms);
        tokio::spawn(async move {
            let call = timeout(total_limit, call_peer(&pool, &to.address, bytes.into()));
            tokio::pin!(call);
            let answered = timeout(Duration::from_millis(ANSWER_TIMEOUT_MS), &mut call).await;
            let answered = match answered {
                Ok(answered) => answered,
                Err(_) => {
                    send_event(&commands, Event::Unanswered { exchange });
                    call.await
                }
            };
            let event = match answered {
                Ok(Some(reply)) => Event::Reply { exchange, reply },
                _ => Event::Unanswered { exchange },
            };
            send_event(&commands, event);
        });
    }

    /// Reads a slot's table from the platform.
    pub(super) fn read(&self, call: Call, slot: u32) {
        let commands = self.commands.clone();
        let platform = self.platform.clone();
        tokio::spawn(async move {
            let state = match platform.get(&table_key(slot)).await {
                Ok(None) => ObjectState::Absent,
                Ok(Some(object)) => match object.value {
                    Some(text) => ObjectState::Present { version: object.version.0, text },
                    None => ObjectState::Unknown,
                },
                Err(_) => ObjectState::Unknown,
            };
            send_event(&commands, Event::Read { call, state });
        });
    }

    /// Writes a slot's table if its version is still the expected one. Without an expected version,
    /// the table is created.
    pub(super) fn write(&self, call: Call, slot: u32, expect: Option<u64>, text: String) {
        let commands = self.commands.clone();
        let platform = self.platform.clone();
        tokio::spawn(async move {
            let key = table_key(slot);
            let written = match expect {
                Some(version) => platform.put_if(&key, ObjectVersion(version), &text).await,
                None => platform.create(&key, &text).await,
            };
            let outcome = match written {
                Ok(version) => WriteOutcome::Done { version: version.0 },
                Err(PlatformError::Conflict) => WriteOutcome::Conflict,
                Err(_) => WriteOutcome::Unknown,
            };
            send_event(&commands, Event::Written { call, outcome });
        });
    }
}

fn send_event(commands: &mpsc::WeakUnboundedSender<Command>, event: Event) {
    if let Some(commands) = commands.upgrade() {
        let _ = commands.send(Command::Event(event));
    }
}

async fn call_peer(pool: &Pool<Identity>, address: &str, bytes: Bytes) -> Option<PeerReply> {
    let connection = pool.get(address).await.ok()?;
    match connection.call(&Request::Limits(bytes)).await.ok()? {
        Reply::Limits(bytes) => PeerReply::decode(&bytes).ok(),
        _ => None,
    }
}
