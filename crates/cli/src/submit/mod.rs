//! Carries a submission out against the platform.

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

/// How long a submission is tried.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    timeout_ms: u64,
}

impl RetryPolicy {
    /// Gives up when this time is over.
    pub fn new(timeout_ms: u64) -> Self {
        Self { timeout_ms }
    }
}

/// Why a submission did not end as wanted.
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

/// Gets a submission into the platform's configuration.
///
/// Reads and the creation of sections are repeated until they are answered. Operators that race
/// each other pause for a random time between their attempts.
///
/// # Errors
///
/// [`SubmitError::Apply`] and [`SubmitError::Unreachable`] when nothing was changed,
/// [`SubmitError::Unknown`] when an answer was lost and the platform stayed away since.
/// [`ApplyError::OutcomeUnknown`] is the one refusal after which a change may be in force.
pub async fn submit<P: Platform>(
    platform: &P,
    mut submission: Submission,
    policy: RetryPolicy,
) -> Result<Applied, SubmitError> {
    let mut pauses = Pauses::new(policy);
    let mut action = submission.handle(Event::Start);
    loop {
        let event = match action {
            Action::ReadHead => read_head(platform, &mut pauses).await.map(Event::Head),
            Action::ReadSections(hashes) => read_sections(platform, &hashes, &mut pauses).await,
            Action::CreateSections(sections) => {
                create_sections(platform, &sections, &mut pauses).await
            }
            Action::WriteHead { replaces, text } => {
                write_head(platform, replaces, &text, &mut pauses).await
            }
            Action::Finish(result) => return result.map_err(SubmitError::Apply),
        };
        let event = event.map_err(|last| give_up(&submission, last))?;
        action = submission.handle(event);
    }
}

fn give_up(submission: &Submission, last: PlatformError) -> SubmitError {
    if submission.may_be_written() {
        return SubmitError::Unknown { last };
    }
    SubmitError::Unreachable { last }
}

/// Reads the configuration in the platform; the empty one when there is none yet.
///
/// # Errors
///
/// As [`submit()`].
pub async fn read_snapshot<P: Platform>(
    platform: &P,
    policy: RetryPolicy,
) -> Result<Snapshot, SubmitError> {
    let mut pauses = Pauses::new(policy);
    let unreachable = |last| SubmitError::Unreachable { last };
    let snapshot = |error: SnapshotError| SubmitError::Apply(error.into());
    let Some(stored) = read_head(platform, &mut pauses).await.map_err(unreachable)? else {
        return Ok(Snapshot::empty());
    };
    let head = Head::parse(&stored.text).map_err(snapshot)?;
    let hashes: Vec<String> = head.sections.into_values().collect();
    let event = read_sections(platform, &hashes, &mut pauses).await.map_err(unreachable)?;
    let texts = if let Event::Sections(texts) = event { texts } else { Vec::new() };
    Snapshot::assemble(&stored.text, &texts, None).map_err(snapshot)
}

async fn read_head<P: Platform>(
    platform: &P,
    pauses: &mut Pauses,
) -> Result<Option<StoredHead>, PlatformError> {
    let object = pauses.repeat(|| platform.get(HEAD_OBJECT)).await?;
    Ok(object.and_then(|object| {
        let version = object.version.0;
        object.value.map(|text| StoredHead { version, text })
    }))
}

async fn read_sections<P: Platform>(
    platform: &P,
    hashes: &[String],
    pauses: &mut Pauses,
) -> Result<Event, PlatformError> {
    let mut texts = Vec::with_capacity(hashes.len());
    for hash in hashes {
        let key = section_object(hash);
        let object = pauses.repeat(|| platform.get(&key)).await?;
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
    pauses: &mut Pauses,
) -> Result<Event, PlatformError> {
    for (hash, text) in sections {
        let key = section_object(hash);
        let create = || async {
            match platform.create(&key, text).await {
                // Another operator or an earlier try has created the same text.
                Err(PlatformError::Conflict) => Ok(()),
                other => other.map(|_| ()),
            }
        };
        pauses.repeat(create).await?;
    }
    Ok(Event::SectionsCreated)
}

async fn write_head<P: Platform>(
    platform: &P,
    replaces: Option<u64>,
    text: &str,
    pauses: &mut Pauses,
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
        // A platform that fails says nothing certain about what it has done before.
        Err(error) => (Event::HeadUnknown, error),
    };
    // At the end of the time the head is read once more, so that the outcome is told if possible.
    let _ = pauses.pause(error).await;
    Ok(event)
}

/// Pauses that grow while calls fail, until the time is over.
struct Pauses {
    end: Instant,
    next_ms: u64,
}

impl Pauses {
    fn new(policy: RetryPolicy) -> Self {
        let end = Instant::now() + Duration::from_millis(policy.timeout_ms);
        Self { end, next_ms: FIRST_PAUSE_MS }
    }

    /// Repeats an idempotent call.
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

    /// Gives the error back when the time is over.
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
