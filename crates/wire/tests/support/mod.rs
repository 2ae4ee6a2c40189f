//! Test fixtures: a handler that records requests, and a server that uses it.

use std::sync::{Arc, Mutex};

use samphirespread_core::prelude::*;
use samphirespread_wire::{
    Handler, HelloSource, ReplySender, Secret, WireConfig,
    message::{Finished, Hello, ObjectVersion, Output, Reply, Request, Resume},
    serve,
};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Records all requests but heartbeats. Answers `Resume` with `from_seq` output lines and
/// `Finished`, and all others with `Done`.
#[derive(Clone, Default)]
pub(crate) struct Recorder {
    pub(crate) requests: Arc<Mutex<Vec<Request>>>,
}

impl Handler for Recorder {
    async fn handle(&self, request: Request, mut replies: ReplySender) {
        if let Request::Heartbeat(_) = request {
            replies.send(&Reply::Heartbeat(FixedHello("a1").hello())).await.unwrap();
            return;
        }
        self.requests.lock().unwrap().push(request.clone());
        let Request::Resume(resume) = request else {
            replies.send(&Reply::Done).await.unwrap();
            return;
        };
        for seq in 0..resume.from_seq {
            let line = Output { seq, text: format!("word{seq} "), tokens: 1 };
            replies.send(&Reply::Output(line)).await.unwrap();
        }
        replies.send(&Reply::Finished(Finished::default())).await.unwrap();
    }
}

#[derive(Clone)]
pub(crate) struct FixedHello(pub(crate) &'static str);

impl HelloSource for FixedHello {
    fn hello(&self) -> Hello {
        Hello {
            name: InstanceName::new(self.0),
            incarnation: Incarnation(1),
            generation: Generation(1),
            live_version: ObjectVersion::default(),
            leaving: false,
        }
    }

    fn receive_hello(&self, _: &Hello) {}
}

pub(crate) fn config(secret: &str) -> WireConfig {
    WireConfig::new(Secret::new(secret)).heartbeat_interval_ms(20).silence_timeout_ms(100)
}

pub(crate) fn resume_request(lines: u64) -> Request {
    let request = RequestId { origin: 1, serial: 2 };
    Request::Resume(Resume {
        attempt: AttemptId { request, number: 0 },
        incarnation: Incarnation(1),
        from_seq: lines,
    })
}

/// Starts a server with a [`Recorder`] on a free port. Returns its address, the recorder and the
/// token that shuts the server down.
pub(crate) async fn start_server(secret: &str) -> (String, Recorder, CancellationToken) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let recorder = Recorder::default();
    let shutdown = CancellationToken::new();
    tokio::spawn(serve(listener, config(secret), recorder.clone(), shutdown.clone()));
    (address, recorder, shutdown)
}
