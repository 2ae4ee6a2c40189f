//! The properties of a request that decide how it is retried, and the reasons to give it up.

use samphirespread_core::prelude::*;

const DEFAULT_MAX_ATTEMPTS: u32 = 6;
const DEFAULT_MAX_RESUMES: u32 = 3;

/// Describes a request and the limits on its attempts.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    pub(crate) request: RequestId,
    pub(crate) idempotent: bool,
    pub(crate) continues: bool,
    pub(crate) max_attempts: u32,
    pub(crate) max_resumes: u32,
}

impl RequestSpec {
    /// Creates the spec of a model request. A further attempt continues after the delivered lines.
    pub fn model(request: RequestId) -> Self {
        Self {
            request,
            idempotent: true,
            continues: true,
            max_attempts: DEFAULT_MAX_ATTEMPTS,
            max_resumes: DEFAULT_MAX_RESUMES,
        }
    }

    /// Creates the spec of a service request. It gets no further attempt once a line was delivered.
    pub fn service(request: RequestId) -> Self {
        Self { continues: false, ..Self::model(request) }
    }

    /// Sets whether the request may run more than once.
    #[must_use]
    pub fn idempotent(mut self, idempotent: bool) -> Self {
        self.idempotent = idempotent;
        self
    }

    /// Sets the maximum number of consecutive attempts that deliver no line, at least one.
    #[must_use]
    pub fn max_attempts(mut self, count: u32) -> Self {
        self.max_attempts = count.max(1);
        self
    }

    /// Sets the maximum number of consecutive resumes of an attempt that deliver no line.
    #[must_use]
    pub fn max_resumes(mut self, count: u32) -> Self {
        self.max_resumes = count;
        self
    }
}

/// The reason why a request was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum GiveUpReason {
    /// No backend server can take the request at present.
    NoBackend,
    /// The attempts so far have failed, and no further one is possible.
    Busy,
    /// The request's deadline passed.
    Deadline,
    /// The router is being stopped.
    Draining,
}

impl GiveUpReason {
    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoBackend => "no_backend",
            Self::Busy => "busy",
            Self::Deadline => "deadline",
            Self::Draining => "draining",
        }
    }
}
