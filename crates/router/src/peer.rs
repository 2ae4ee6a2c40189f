//! Answers requests from other routers.

use std::sync::Arc;

use samphirespread_wire::{
    Handler, HelloSource, ReplySender,
    message::{Reply, Request},
};

use crate::{state::Shared, sync};

/// Answers requests from other routers.
#[derive(Clone)]
pub(crate) struct PeerHandler {
    pub(crate) shared: Arc<Shared>,
}

impl Handler for PeerHandler {
    async fn handle(&self, request: Request, mut replies: ReplySender) {
        let reply = self.reply(request).await;
        // A peer that has lost its connection asks again.
        let _ = replies.send(&reply).await;
    }
}

impl PeerHandler {
    async fn reply(&self, request: Request) -> Reply {
        let shared = &self.shared;
        match request {
            Request::Heartbeat(hello) => {
                shared.identity.receive_hello(&hello);
                shared.note_peer_generation(hello.generation);
                Reply::Heartbeat(shared.identity.hello())
            }
            Request::FetchConfig(ask) => sync::config_reply(shared, &ask),
            Request::FetchLiveList(ask) => sync::live_reply(shared, ask),
            Request::Limits(bytes) => shared.admission.handle_peer_message(bytes).await,
            Request::Lookup(_)
            | Request::Run(_)
            | Request::Resume(_)
            | Request::Cancel(_)
            | Request::ConfigureAgent(_) => {
                Reply::Refused { message: "a router runs no attempts".to_owned() }
            }
        }
    }
}
