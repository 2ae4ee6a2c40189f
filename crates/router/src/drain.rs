//! Leaving without cutting a request.

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Counts the requests that run, and tells when the router is leaving.
#[derive(Debug)]
pub(crate) struct Drain {
    leaving: CancellationToken,
    running: watch::Sender<usize>,
}

impl Default for Drain {
    fn default() -> Self {
        Self { leaving: CancellationToken::new(), running: watch::Sender::new(0) }
    }
}

/// One running request, for as long as it lives.
#[derive(Debug)]
pub(crate) struct Running(watch::Sender<usize>);

impl Drain {
    /// Counts one more request.
    pub(crate) fn enter(&self) -> Running {
        self.running.send_modify(|running| *running += 1);
        Running(self.running.clone())
    }

    /// Requests that run.
    pub(crate) fn running(&self) -> usize {
        *self.running.borrow()
    }

    /// Stops taking new requests.
    pub(crate) fn leave(&self) {
        self.leaving.cancel();
    }

    /// Whether new requests are refused.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.is_cancelled()
    }

    /// Returns once no request runs.
    pub(crate) async fn idle(&self) {
        let mut running = self.running.subscribe();
        // The sender lives as long as this borrow.
        let _ = running.wait_for(|running| *running == 0).await;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.send_modify(|running| *running -= 1);
    }
}
