//! State machine that writes a configuration change to the platform by compare-and-swap.
//!
//! It copes with concurrent submissions by other operators and with lost responses.

use std::{collections::BTreeMap, error::Error};

use displaydoc::Display;
use samphirespread_core::prelude::*;

use crate::{
    change::Changes,
    document::{Document, ObjectName},
    error::ConfigErrors,
    model::{Config, Head},
    section::{MAX_SECTION_BYTES, section_hash, sections},
    snapshot::{Snapshot, SnapshotError},
};

/// Maximum number of submission ids that a head lists.
///
/// An operator that lost a response can still determine the outcome if fewer heads than this
/// were written before it reads the head again.
pub const MAX_RECENT_SUBMISSIONS: u64 = 64;

/// State machine that applies one change to the stored configuration.
///
/// The caller passes the [`Event`] that results from each [`Action`] to [`Submission::handle`]
/// and executes the returned action, until it is [`Action::Finish`]. Reads and the creation of
/// sections are idempotent, so the caller retries them until they are answered. The write of the
/// head is not idempotent: the caller reports a lost response as [`Event::HeadUnknown`].
///
/// # Why no accepted change is lost or applied twice
///
/// Each head replaces one version of its object, so each generation is written once. After a lost
/// response, the submission reads the head again. If the head is unchanged, the same text is
/// written against the same version, and at most one of both writes can succeed. If the head has
/// changed, the earlier write can't succeed any more, and the ids in [`Head::recent`] show
/// whether it did. The id of the last submission alone would not suffice, because another
/// operator may have written a later head in between.
///
/// When another operator has written a head first, the changes are applied to its configuration
/// instead. They are refused if it changed one of the same objects to something else.
#[derive(Clone, Debug)]
pub struct Submission {
    id: String,
    puts: Vec<Document>,
    removals: Vec<ObjectName>,
    exact: bool,
    changes: Option<Changes>,
    base: Snapshot,
    pending_read: Option<PendingRead>,
    pending_write: Option<PendingWrite>,
}

/// A head whose sections are still being read.
#[derive(Clone, Debug)]
struct PendingRead {
    version: Option<u64>,
    text: String,
}

/// A head that this submission is trying to write.
#[derive(Clone, Debug)]
struct PendingWrite {
    head: Head,
    replaces: Option<u64>,
    /// Whether a response was lost, so the write may have happened or may still happen.
    outcome_unknown: bool,
}

/// A head as stored on the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredHead {
    /// The version of the stored object.
    pub version: u64,
    /// The text of the head.
    pub text: String,
}

/// What the caller of a submission must do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the head.
    ReadHead,
    /// Read the sections with these hashes.
    ReadSections(Vec<String>),
    /// Create these sections, given as texts by hash, unless they exist already.
    CreateSections(BTreeMap<String, String>),
    /// Write the head.
    WriteHead {
        /// The version that the write replaces; `None` creates the head.
        replaces: Option<u64>,
        /// The text of the head.
        text: String,
    },
    /// Stop: the submission has this result.
    Finish(Result<Applied, ApplyError>),
}

/// What the caller of a submission reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The submission starts.
    Start,
    /// The head was read; `None` if it doesn't exist.
    Head(Option<StoredHead>),
    /// The requested sections were read; holds their texts.
    Sections(Vec<String>),
    /// A requested section doesn't exist.
    SectionGone,
    /// All sections to create now exist.
    SectionsCreated,
    /// The head was written.
    HeadWritten,
    /// The head was not written because its version is not the one to replace.
    HeadConflict,
    /// The response was lost, so the head may or may not have been written.
    HeadUnknown,
}

/// The result of an accepted submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// The generation that contains the changes. Later ones are based on it.
    pub generation: Generation,
    /// The changes; empty if the configuration matched already.
    pub changes: Changes,
}

/// The reason why a submission was not accepted.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[non_exhaustive]
pub enum ApplyError {
    /// the configuration in the platform can't be read: {0}
    Snapshot(SnapshotError),
    /// not applied, the configuration would not be valid: {0}
    Invalid(ConfigErrors),
    /// not applied: another operator has changed {0:?} in the meantime
    Conflict(Vec<String>),
    /// not applied: section {section} would have {bytes} bytes; allowed are 1000000
    SectionTooLarge {
        /// The section's name.
        section: String,
        /// The size of its text in bytes.
        bytes: usize,
    },
    /// unknown whether applied: a response was lost and {heads} heads were written since
    OutcomeUnknown {
        /// The number of heads written since the write whose response was lost.
        heads: u64,
    },
}

impl Error for ApplyError {}

impl From<SnapshotError> for ApplyError {
    fn from(error: SnapshotError) -> Self {
        Self::Snapshot(error)
    }
}

impl Submission {
    /// Creates a submission that adds or replaces these objects.
    ///
    /// The id must never be used for another change. While the head lists the id of an accepted
    /// submission, a second one with the same id changes nothing and finishes with the generation
    /// of the first, so an operator that got no response can submit again.
    pub fn new(id: &str, puts: impl IntoIterator<Item = Document>) -> Self {
        Self {
            id: id.to_owned(),
            puts: puts.into_iter().collect(),
            removals: Vec::new(),
            exact: false,
            changes: None,
            base: Snapshot::empty(),
            pending_read: None,
            pending_write: None,
        }
    }

    /// Also removes these objects.
    #[must_use]
    pub fn remove(mut self, removals: impl IntoIterator<Item = ObjectName>) -> Self {
        self.removals.extend(removals);
        self
    }

    /// Sets whether to remove every object that is not among those to add or replace.
    #[must_use]
    pub fn exact(mut self, exact: bool) -> Self {
        self.exact = exact;
        self
    }

    /// Returns the submission's id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns whether the head may have been written although the response was lost.
    pub fn may_be_written(&self) -> bool {
        self.pending_write.as_ref().is_some_and(|pending_write| pending_write.outcome_unknown)
    }

    /// Processes an event and returns the next action.
    pub fn handle(&mut self, event: Event) -> Action {
        self.try_handle(event).unwrap_or_else(|error| Action::Finish(Err(error)))
    }

    fn try_handle(&mut self, event: Event) -> Result<Action, ApplyError> {
        match event {
            Event::Start | Event::SectionGone => Ok(Action::ReadHead),
            Event::Head(stored) => self.on_head_read(stored),
            Event::Sections(texts) => self.on_sections_read(&texts),
            Event::SectionsCreated => Ok(self.write_head()),
            Event::HeadWritten => Ok(self.on_head_written()),
            Event::HeadConflict => {
                self.pending_write.take_if(|pending_write| !pending_write.outcome_unknown);
                Ok(Action::ReadHead)
            }
            Event::HeadUnknown => {
                self.pending_write
                    .iter_mut()
                    .for_each(|pending_write| pending_write.outcome_unknown = true);
                Ok(Action::ReadHead)
            }
        }
    }

    fn on_head_read(&mut self, stored: Option<StoredHead>) -> Result<Action, ApplyError> {
        let head = match &stored {
            Some(stored) => Head::parse(&stored.text)?,
            None => Head::default(),
        };
        let version = stored.as_ref().map(|stored| stored.version);
        if let Some(action) = self.check_earlier_write(&head, version)? {
            return Ok(action);
        }
        let missing: Vec<String> =
            self.base.missing_sections(&head).into_iter().map(str::to_owned).collect();
        let text = stored.map_or_else(|| head.to_text(), |stored| stored.text);
        self.pending_read = Some(PendingRead { version, text });
        if missing.is_empty() {
            return self.on_sections_read(&[]);
        }
        Ok(Action::ReadSections(missing))
    }

    /// Checks whether the head contains the submission already, through a write whose response was
    /// lost or an earlier run with the same id. Returns the next action if that decides it.
    fn check_earlier_write(
        &mut self,
        head: &Head,
        version: Option<u64>,
    ) -> Result<Option<Action>, ApplyError> {
        if let Some((&generation, _)) = head.recent.iter().find(|(_, id)| **id == self.id) {
            return Ok(Some(self.finish(generation)));
        }
        let Some(pending_write) = &self.pending_write else { return Ok(None) };
        if version == pending_write.replaces {
            return Ok(Some(self.write_head()));
        }
        let heads = head.generation.0.saturating_sub(pending_write.head.generation.0);
        if heads >= MAX_RECENT_SUBMISSIONS {
            return Err(ApplyError::OutcomeUnknown { heads });
        }
        self.pending_write = None;
        Ok(None)
    }

    fn on_sections_read(&mut self, texts: &[String]) -> Result<Action, ApplyError> {
        let Some(pending_read) = self.pending_read.take() else { return Ok(Action::ReadHead) };
        self.base = Snapshot::assemble(&pending_read.text, texts, Some(&self.base))?;
        let changes = match self.changes.take() {
            Some(changes) => changes,
            None => self.initial_changes(),
        };
        let changes = self.changes.insert(changes);
        let config =
            changes.apply_to(self.base.config()).map_err(|objects| conflict_error(&objects))?;
        if changes.is_empty() || config == *self.base.config() {
            return Ok(self.finish(self.base.generation()));
        }
        config.validate().map_err(ApplyError::Invalid)?;
        self.prepare_write(&config, pending_read.version)
    }

    fn initial_changes(&mut self) -> Changes {
        let config = self.base.config();
        if self.exact {
            return Changes::between(config, &Config::from_documents(self.puts.drain(..)));
        }
        Changes::against(config, self.puts.drain(..), self.removals.drain(..))
    }

    fn prepare_write(
        &mut self,
        config: &Config,
        replaces: Option<u64>,
    ) -> Result<Action, ApplyError> {
        let texts = sections(config);
        if let Some((section, text)) = texts.iter().find(|(_, text)| text.len() > MAX_SECTION_BYTES)
        {
            let (section, bytes) = (section.clone(), text.len());
            return Err(ApplyError::SectionTooLarge { section, bytes });
        }
        let hashes: BTreeMap<String, String> =
            texts.iter().map(|(name, text)| (name.clone(), section_hash(text))).collect();
        let head = self.next_head(hashes);
        let missing: Vec<&str> = self.base.missing_sections(&head);
        let by_hash = texts.into_values().map(|text| (section_hash(&text), text));
        let to_create: BTreeMap<String, String> =
            by_hash.filter(|(hash, _)| missing.contains(&hash.as_str())).collect();
        self.pending_write = Some(PendingWrite { head, replaces, outcome_unknown: false });
        if to_create.is_empty() {
            return Ok(self.write_head());
        }
        Ok(Action::CreateSections(to_create))
    }

    fn next_head(&self, sections: BTreeMap<String, String>) -> Head {
        let current = self.base.head();
        let generation = Generation(current.generation.0 + 1);
        let mut recent = current.recent.clone();
        recent.insert(generation, self.id.clone());
        recent.retain(|listed, _| generation.0 - listed.0 < MAX_RECENT_SUBMISSIONS);
        Head { generation, submission: self.id.clone(), recent, sections }
    }

    fn write_head(&self) -> Action {
        match &self.pending_write {
            Some(pending) => {
                Action::WriteHead { replaces: pending.replaces, text: pending.head.to_text() }
            }
            None => Action::ReadHead,
        }
    }

    fn on_head_written(&mut self) -> Action {
        match &self.pending_write {
            Some(pending_write) => self.finish(pending_write.head.generation),
            None => Action::ReadHead,
        }
    }

    fn finish(&self, generation: Generation) -> Action {
        let changes = self.changes.clone().unwrap_or_default();
        Action::Finish(Ok(Applied { generation, changes }))
    }
}

fn conflict_error(objects: &[ObjectName]) -> ApplyError {
    ApplyError::Conflict(objects.iter().map(ToString::to_string).collect())
}
