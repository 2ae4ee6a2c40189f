//! What is to be run, and why it may be given up.

use samphirespread_core::prelude::*;

const DEFAULT_MAX_ATTEMPTS: u32 = 6;
const DEFAULT_MAX_RESUMES: u32 = 3;

/// What is to be run and how often it may be tried.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    pub(crate) request: RequestId,
    pub(crate) idempotent: bool,
    pub(crate) continues: bool,
    pub(crate) max_attempts: u32,
    pub(crate) max_resumes: u32,
}

impl RequestSpec {
    /// A prompt for a model. A further attempt continues after the lines already delivered.
    pub fn model(request: RequestId) -> Self {
        Self {
            request,
            idempotent: true,
            continues: true,
            max_attempts: DEFAULT_MAX_ATTEMPTS,
            max_resumes: DEFAULT_MAX_RESUMES,
        }
    }

    /// A call of a plain service. Once a line was delivered there is no further attempt.
    pub fn service(request: RequestId) -> Self {
        Self { continues: false, ..Self::model(request) }
    }

    /// Whether the request may run more than once.
    #[must_use]
    pub fn idempotent(mut self, idempotent: bool) -> Self {
        self.idempotent = idempotent;
        self
    }

    /// Attempts at most without a line between them, one at least.
    #[must_use]
    pub fn max_attempts(mut self, count: u32) -> Self {
        self.max_attempts = count.max(1);
        self
    }

    /// Resumes of one attempt at most without a line between them.
    #[must_use]
    pub fn max_resumes(mut self, count: u32) -> Self {
        self.max_resumes = count;
        self
    }
}

/// Why a request was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum GiveUpReason {
    /// No backend server can take it at present.
    NoBackend,
    /// All that were asked refused.
    Busy,
    /// The deadline passed.
    Deadline,
}
