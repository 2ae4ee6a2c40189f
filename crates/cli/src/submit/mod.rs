//! Writes a submission to the platform and retries while calls fail.

use std::{collections::BTreeMap, future::Future, time::Duration};

use displaydoc::Display;
use rand::Rng;
use samphirespread_config::{
    Action, Applied, ApplyError, Event, HEAD_OBJECT, Head, Snapshot, SnapshotError, StoredHead,
    Submission, section_object,
};
use samphirespread_platform::{Platform, PlatformError, api::ObjectVersion};
use tokio::time::{Instant, sleep};

const FIRST_PAUSE_MS: u64 = 20;
const MAX_PAUSE_MS: u64 = 2_000;

/// Limits how long a submission is retried.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    timeout_ms: u64,
}

impl RetryPolicy {
    /// Creates a policy that gives up after this time.
    pub fn new(timeout_ms: u64) -> Self {
        Self { timeout_ms }
    }
}

/// Reason why a submission failed or has an unknown outcome.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum SubmitError {
    /// {0}
    Apply(ApplyError),
    /// not applied, the time is over: {last}
    Unreachable {
        /// The last failure.
        last: PlatformError,
    },
    /// unknown whether applied, the time is over: {last}
    Unknown {
        /// The last failure.
        last: PlatformError,
    },
}

impl std::error::Error for SubmitError {}

/// Applies a submission to the configuration in the platform.
///
/// Reads and the creation of sections are retried until they succeed or the time is over. When
/// operators conflict, each pauses for a random time before its next attempt.
///
/// # Errors
///
/// Returns [`SubmitError::Apply`] or [`SubmitError::Unreachable`] if nothing was changed, and
/// [`SubmitError::Unknown`] if an answer was lost and the platform was unreachable afterwards.
/// The only [`SubmitError::Apply`] after which a change may be in force is
/// [`ApplyError::OutcomeUnknown`].
pub async fn submit<P: Platform>(
    platform: &P,
    mut submission: Submission,
    policy: RetryPolicy,
) -> Result<Applied, SubmitError> {
    let mut backoff = Backoff::new(policy);
    let mut action = submission.handle(Event::Start);
    loop {
        let event = match action {
            Action::ReadHead => read_head(platform, &mut backoff).await.map(Event::Head),
            Action::ReadSections(hashes) => read_sections(platform, &hashes, &mut backoff).await,
            Action::CreateSections(sections) => {
                create_sections(platform, &sections, &mut backoff).await
            }
            Action::WriteHead { replaces, text } => {
                write_head(platform, replaces, &text, &mut backoff).await
            }
            Action::Finish(result) => return result.map_err(SubmitError::Apply),
        };
        let event = event.map_err(|last| timeout_error(&submission, last))?;
        action = submission.handle(event);
    }
}

fn timeout_error(submission: &Submission, last: PlatformError) -> SubmitError {
    if submission.may_be_written() {
        return SubmitError::Unknown { last };
    }
    SubmitError::Unreachable { last }
}

/// Reads the configuration in the platform. Returns an empty one if there is none yet.
///
/// # Errors
///
/// Returns the same errors as [`submit()`].
pub async fn read_snapshot<P: Platform>(
    platform: &P,
    policy: RetryPolicy,
) -> Result<Snapshot, SubmitError> {
    let mut backoff = Backoff::new(policy);
    let unreachable = |last| SubmitError::Unreachable { last };
    let snapshot = |error: SnapshotError| SubmitError::Apply(error.into());
    let Some(stored) = read_head(platform, &mut backoff).await.map_err(unreachable)? else {
        return Ok(Snapshot::empty());
    };
    let head = Head::parse(&stored.text).map_err(snapshot)?;
    let hashes: Vec<String> = head.sections.into_values().collect();
    let event = read_sections(platform, &hashes, &mut backoff).await.map_err(unreachable)?;
    let texts = if let Event::Sections(texts) = event { texts } else { Vec::new() };
    Snapshot::assemble(&stored.text, &texts, None).map_err(snapshot)
}

async fn read_head<P: Platform>(
    platform: &P,
    backoff: &mut Backoff,
) -> Result<Option<StoredHead>, PlatformError> {
    let object = backoff.repeat(|| platform.get(HEAD_OBJECT)).await?;
    Ok(object.and_then(|object| {
        let version = object.version.0;
        object.value.map(|text| StoredHead { version, text })
    }))
}

async fn read_sections<P: Platform>(
    platform: &P,
    hashes: &[String],
    backoff: &mut Backoff,
) -> Result<Event, PlatformError> {
    let mut texts = Vec::with_capacity(hashes.len());
    for hash in hashes {
        let key = section_object(hash);
        let object = backoff.repeat(|| platform.get(&key)).await?;
        match object.and_then(|object| object.value) {
            Some(text) => texts.push(text),
            None => return Ok(Event::SectionGone),
        }
    }
    Ok(Event::Sections(texts))
}

async fn create_sections<P: Platform>(
    platform: &P,
    sections: &BTreeMap<String, String>,
    backoff: &mut Backoff,
) -> Result<Event, PlatformError> {
    for (hash, text) in sections {
        let key = section_object(hash);
        let create = || async {
            match platform.create(&key, text).await {
                // Another operator or an earlier attempt has already created the same section.
                Err(PlatformError::Conflict) => Ok(()),
                other => other.map(|_| ()),
            }
        };
        backoff.repeat(create).await?;
    }
    Ok(Event::SectionsCreated)
}

async fn write_head<P: Platform>(
    platform: &P,
    replaces: Option<u64>,
    text: &str,
    backoff: &mut Backoff,
) -> Result<Event, PlatformError> {
    let written = match replaces {
        Some(version) => platform.put_if(HEAD_OBJECT, ObjectVersion(version), text).await,
        None => platform.create(HEAD_OBJECT, text).await,
    };
    let (event, error) = match written {
        Ok(_) => return Ok(Event::HeadWritten),
        Err(error @ (PlatformError::Conflict | PlatformError::RateLimited)) => {
            (Event::HeadConflict, error)
        }
        // After any other error, it is unknown whether the platform has written the head.
        Err(error) => (Event::HeadUnknown, error),
    };
    // An expired time limit is ignored here, so that the head is read once more and the outcome is
    // reported if possible.
    let _ = backoff.pause(error).await;
    Ok(event)
}

/// Exponential backoff with a random part, which ends when the time limit is reached.
struct Backoff {
    end: Instant,
    next_ms: u64,
}

impl Backoff {
    fn new(policy: RetryPolicy) -> Self {
        let end = Instant::now() + Duration::from_millis(policy.timeout_ms);
        Self { end, next_ms: FIRST_PAUSE_MS }
    }

    /// Repeats an idempotent call until it succeeds or the time limit is reached.
    async fn repeat<T, F, C>(&mut self, call: C) -> Result<T, PlatformError>
    where
        F: Future<Output = Result<T, PlatformError>>,
        C: Fn() -> F,
    {
        loop {
            match call().await {
                Ok(value) => {
                    self.next_ms = FIRST_PAUSE_MS;
                    return Ok(value);
                }
                Err(error) => self.pause(error).await?,
            }
        }
    }

    /// Sleeps before the next attempt. Returns `error` if the pause would exceed the time limit.
    async fn pause(&mut self, error: PlatformError) -> Result<(), PlatformError> {
        let pause_ms = rand::rng().random_range(self.next_ms / 2..=self.next_ms);
        let end = Instant::now() + Duration::from_millis(pause_ms);
        if end > self.end {
            return Err(error);
        }
        self.next_ms = (2 * self.next_ms).min(MAX_PAUSE_MS);
        sleep(Duration::from_millis(pause_ms)).await;
        Ok(())
    }
}
