//! The configuration of a worker.

use super::Pace;

/// The configuration of a worker.
#[derive(Clone, Debug)]
pub struct WorkerConfig {
    pub(super) id: String,
    pub(super) service: String,
    pub(super) failure_domain: String,
    pub(super) model: Option<(String, u64)>,
    pub(super) work_ms: u64,
    pub(super) pace: Option<Pace>,
    pub(super) software: Option<String>,
}

impl WorkerConfig {
    /// Creates the configuration of a worker of a plain service.
    pub fn new(id: &str, service: &str) -> Self {
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            failure_domain: "khomas-1".to_owned(),
            model: None,
            work_ms: 0,
            pace: None,
            software: None,
        }
    }

    /// Sets its failure domain.
    #[must_use]
    pub fn failure_domain(mut self, failure_domain: &str) -> Self {
        failure_domain.clone_into(&mut self.failure_domain);
        self
    }

    /// Sets how long it works on each request before it answers.
    #[must_use]
    pub fn work_ms(mut self, work_ms: u64) -> Self {
        self.work_ms = work_ms;
        self
    }

    /// Makes it an engine that holds a version of a model.
    #[must_use]
    pub fn model(mut self, model: &str, version: u64) -> Self {
        self.model = Some((model.to_owned(), version));
        self
    }

    /// Sets the version of its software, which its entry names and each event of its streams ends with.
    /// Without it, the entry names `v1` and events don't tell.
    #[must_use]
    pub fn software(mut self, version: &str) -> Self {
        self.software = Some(version.to_owned());
        self
    }

    /// Makes streams, loads and copies take time.
    #[must_use]
    pub fn pace(mut self, pace: Pace) -> Self {
        self.pace = Some(pace);
        self
    }
}
