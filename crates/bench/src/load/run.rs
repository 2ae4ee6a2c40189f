//! Sends a load.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::{sync::mpsc, task::JoinSet};

use super::{
    LoadError, LoadReport, Target, TeamRate, TraceRecord,
    collect::{Sample, Sums},
};

const DEFAULT_BLOCK_BYTES: usize = 8_192;
const DEFAULT_MAX_TIME: Duration = Duration::from_secs(120);
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// When requests are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pacing {
    /// At their times, whatever becomes of earlier ones.
    Open,
    /// As soon as fewer than this many are running.
    Closed {
        /// Requests that run at once.
        concurrency: usize,
    },
}

/// A load that is about to be sent. Requests go to its targets in turn.
#[derive(Clone, Debug)]
pub struct LoadRun {
    records: Arc<Vec<TraceRecord>>,
    targets: Arc<Vec<Target>>,
    names: Vec<String>,
    rates: Vec<TeamRate>,
    pacing: Pacing,
    block_bytes: usize,
    max_time: Duration,
}

#[derive(Debug, Default)]
struct Progress {
    sent: AtomicU64,
    ended: AtomicU64,
}

impl LoadRun {
    /// A load of these requests, at their times.
    pub fn new(records: Vec<TraceRecord>) -> Self {
        Self {
            records: Arc::new(records),
            targets: Arc::default(),
            names: Vec::new(),
            rates: Vec::new(),
            pacing: Pacing::Open,
            block_bytes: DEFAULT_BLOCK_BYTES,
            max_time: DEFAULT_MAX_TIME,
        }
    }

    /// Adds a target. Each request goes to one of them, in turn.
    #[must_use]
    pub fn target(mut self, name: &str, target: Target) -> Self {
        Arc::make_mut(&mut self.targets).push(target);
        self.names.push(name.to_owned());
        self
    }

    /// When requests are sent.
    #[must_use]
    pub fn pacing(mut self, pacing: Pacing) -> Self {
        self.pacing = pacing;
        self
    }

    /// Tells a team's rate, so that its wrongful refusals are counted.
    #[must_use]
    pub fn rate(mut self, rate: TeamRate) -> Self {
        self.rates.push(rate);
        self
    }

    /// Bytes of prompt in one block.
    #[must_use]
    pub fn block_bytes(mut self, block_bytes: usize) -> Self {
        self.block_bytes = block_bytes;
        self
    }

    /// Nothing is sent after this time, and what still runs then is given up.
    #[must_use]
    pub fn max_time(mut self, max_time: Duration) -> Self {
        self.max_time = max_time;
        self
    }

    /// Sends the load. The progress function gets a line each second.
    ///
    /// # Errors
    ///
    /// [`LoadError::Empty`] when there are no requests or no targets.
    pub async fn run(self, mut progress: impl FnMut(&str)) -> Result<LoadReport, LoadError> {
        if self.records.is_empty() || self.targets.is_empty() {
            return Err(LoadError::Empty);
        }

        let begun = Instant::now();
        let counts = Arc::new(Progress::default());
        let (sender, mut receiver) = mpsc::unbounded_channel();
        let sending = tokio::spawn(self.clone().send(begun, Arc::clone(&counts), sender));
        let mut samples: Vec<Sample> = Vec::with_capacity(self.records.len());
        let mut ticks = tokio::time::interval(PROGRESS_INTERVAL);
        loop {
            tokio::select! {
                sample = receiver.recv() => match sample {
                    Some(sample) => samples.push(sample),
                    None => break,
                },
                _ = ticks.tick() => progress(&self.line(begun, &counts)),
            }
        }
        sending.abort();
        let elapsed_s = begun.elapsed().as_secs_f64();
        let not_sent = self.records.len() as u64 - counts.sent.load(Ordering::Relaxed);
        let sums = Sums::of(&samples, self.targets.len(), &self.rates);
        Ok(LoadReport::new(&sums, &self.names, elapsed_s, not_sent))
    }

    fn line(&self, begun: Instant, counts: &Progress) -> String {
        format!(
            "{:>4.0} s: {} of {} sent, {} ended",
            begun.elapsed().as_secs_f64(),
            counts.sent.load(Ordering::Relaxed),
            self.records.len(),
            counts.ended.load(Ordering::Relaxed),
        )
    }

    async fn send(
        self,
        begun: Instant,
        counts: Arc<Progress>,
        samples: mpsc::UnboundedSender<Sample>,
    ) {
        let max_time = self.max_time;
        let sending = async {
            match self.pacing {
                Pacing::Open => self.send_open(begun, counts, samples).await,
                Pacing::Closed { concurrency } => {
                    self.send_closed(concurrency, counts, samples).await;
                }
            }
        };
        // What is over the time is given up with its tasks.
        let _ = tokio::time::timeout(max_time, sending).await;
    }

    async fn send_open(
        &self,
        begun: Instant,
        counts: Arc<Progress>,
        samples: mpsc::UnboundedSender<Sample>,
    ) {
        let mut tasks = JoinSet::new();
        for (serial, record) in self.records.iter().enumerate() {
            let due = begun + Duration::from_millis(record.at_ms);
            tokio::time::sleep_until(due.into()).await;
            let (run, counts, samples) = (self.clone(), Arc::clone(&counts), samples.clone());
            counts.sent.fetch_add(1, Ordering::Relaxed);
            tasks.spawn(async move { run.send_one(serial, Some(due), &counts, &samples).await });
            while tasks.try_join_next().is_some() {}
        }
        tasks.join_all().await;
    }

    async fn send_closed(
        &self,
        concurrency: usize,
        counts: Arc<Progress>,
        samples: mpsc::UnboundedSender<Sample>,
    ) {
        let next = Arc::new(AtomicUsize::new(0));
        let mut tasks = JoinSet::new();
        for _ in 0..concurrency {
            let (run, next) = (self.clone(), Arc::clone(&next));
            let (counts, samples) = (Arc::clone(&counts), samples.clone());
            tasks.spawn(async move {
                loop {
                    let serial = next.fetch_add(1, Ordering::Relaxed);
                    if serial >= run.records.len() {
                        return;
                    }
                    counts.sent.fetch_add(1, Ordering::Relaxed);
                    run.send_one(serial, None, &counts, &samples).await;
                }
            });
        }
        tasks.join_all().await;
    }

    async fn send_one(
        &self,
        serial: usize,
        due: Option<Instant>,
        counts: &Progress,
        samples: &mpsc::UnboundedSender<Sample>,
    ) {
        let target = serial % self.targets.len();
        let record = &self.records[serial];
        let mut sample = self.targets[target].run(target, record, serial, self.block_bytes).await;
        let late = due.map(|due| sample.sent_at.saturating_duration_since(due));
        sample.late_us = u64::try_from(late.unwrap_or_default().as_micros()).unwrap_or(u64::MAX);
        counts.ended.fetch_add(1, Ordering::Relaxed);
        // The receiver is gone only when nobody wants samples any more.
        let _ = samples.send(sample);
    }
}
