//! Lets running requests finish before the router exits.

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Counts the running requests and holds whether the router is leaving.
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

/// Counts one running request until it is dropped.
#[derive(Debug)]
pub(crate) struct Running(watch::Sender<usize>);

impl Drain {
    /// Counts one more running request.
    pub(crate) fn enter(&self) -> Running {
        self.running.send_modify(|running| *running += 1);
        Running(self.running.clone())
    }

    /// Returns the number of running requests.
    pub(crate) fn running(&self) -> usize {
        *self.running.borrow()
    }

    /// Makes the router refuse new requests.
    pub(crate) fn leave(&self) {
        self.leaving.cancel();
    }

    /// Returns whether new requests are refused.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.is_cancelled()
    }

    /// Waits until no request is running.
    pub(crate) async fn wait_until_idle(&self) {
        let mut running = self.running.subscribe();
        // The wait can't fail, since `self` keeps the sender alive.
        let _ = running.wait_for(|running| *running == 0).await;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.send_modify(|running| *running -= 1);
    }
}
