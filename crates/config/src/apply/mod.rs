//! Gets a change into the head while other operators submit theirs and answers get lost.

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

/// Submissions that a head remembers.
///
/// An operator whose answer was lost is sure of the outcome as long as fewer heads than this
/// were written before it reads the head again.
pub const RECENT_SUBMISSIONS: u64 = 64;

/// Decides how one change gets into the configuration.
///
/// Give every [`Event`] that results from an [`Action`] to [`Submission::handle`] and carry the
/// next action out, until it is [`Action::Finish`]. Reads and the creation of sections are
/// idempotent, so the caller repeats them until they are answered. The write of the head is
/// not: an answer that is lost is told as [`Event::HeadUnknown`].
///
/// # Why no accepted change is lost or made twice
///
/// Each head replaces one version of its object, so each generation is written once. A lost
/// answer is resolved by reading the head again. If the head is unchanged, the same text is
/// written against the same version, and at most one of both writes can succeed. If it has
/// changed, the earlier write can't succeed any more, and the ids in [`Head::recent`] tell
/// whether it did. Looking at the id of the last submission alone would not do: another operator
/// may have written a later head in between.
///
/// When another operator was faster, the changes are carried over to its configuration. They
/// are refused if it has changed one of the same objects to something else.
#[derive(Clone, Debug)]
pub struct Submission {
    id: String,
    puts: Vec<Document>,
    removals: Vec<ObjectName>,
    exact: bool,
    changes: Option<Changes>,
    base: Snapshot,
    reading: Option<Reading>,
    pending: Option<Pending>,
}

/// A head whose sections are being read.
#[derive(Clone, Debug)]
struct Reading {
    version: Option<u64>,
    text: String,
}

/// The head that this submission tries to write.
#[derive(Clone, Debug)]
struct Pending {
    head: Head,
    replaces: Option<u64>,
    /// Whether an answer was lost, so that the write may have happened or may still happen.
    unknown: bool,
}

/// A head as the platform holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredHead {
    /// The version of the object.
    pub version: u64,
    /// The text of the head.
    pub text: String,
}

/// What the driver of a submission does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the head.
    ReadHead,
    /// Read the sections with these hashes.
    ReadSections(Vec<String>),
    /// Create the sections that don't exist yet, by hash.
    CreateSections(BTreeMap<String, String>),
    /// Write the head.
    WriteHead {
        /// The version that the write replaces; `None` creates the head.
        replaces: Option<u64>,
        /// The text of the head.
        text: String,
    },
    /// Stop.
    Finish(Result<Applied, ApplyError>),
}

/// What the driver of a submission reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The submission begins.
    Start,
    /// The head as it is, or `None` when there is none.
    Head(Option<StoredHead>),
    /// The texts of the sections that were asked for.
    Sections(Vec<String>),
    /// A section that was asked for doesn't exist.
    SectionGone,
    /// All sections exist.
    SectionsCreated,
    /// The head was written.
    HeadWritten,
    /// The head has another version.
    HeadConflict,
    /// Nobody knows whether the head was written.
    HeadUnknown,
}

/// What a submission has achieved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// The generation that has the changes. Later ones have them too.
    pub generation: Generation,
    /// What was changed; empty when the configuration was as wanted already.
    pub changes: Changes,
}

/// Why a submission was not accepted.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[non_exhaustive]
pub enum ApplyError {
    /// the configuration in the platform can't be read: {0}
    Snapshot(SnapshotError),
    /// not applied, the configuration would not be valid: {0}
    Invalid(ConfigErrors),
    /// not applied: somebody else has changed {0:?} meanwhile
    Conflict(Vec<String>),
    /// not applied: section {section} would have {bytes} bytes; allowed are 1000000
    SectionTooLarge {
        /// The section's name.
        section: String,
        /// Its size.
        bytes: usize,
    },
    /// unknown whether applied: an answer was lost and {heads} heads were written since
    OutcomeUnknown {
        /// Heads written since the one whose answer was lost.
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
    /// Puts objects into the configuration.
    ///
    /// The id must be unique for ever. A second submission with the id of one that was accepted
    /// changes nothing and finishes with the generation of the first, so that an operator who
    /// gave up without an answer may submit again.
    pub fn new(id: &str, puts: impl IntoIterator<Item = Document>) -> Self {
        Self {
            id: id.to_owned(),
            puts: puts.into_iter().collect(),
            removals: Vec::new(),
            exact: false,
            changes: None,
            base: Snapshot::empty(),
            reading: None,
            pending: None,
        }
    }

    /// Removes these objects.
    #[must_use]
    pub fn remove(mut self, removals: impl IntoIterator<Item = ObjectName>) -> Self {
        self.removals.extend(removals);
        self
    }

    /// Removes every object that is not put.
    #[must_use]
    pub fn exact(mut self, exact: bool) -> Self {
        self.exact = exact;
        self
    }

    /// The submission's id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Whether the head may have been written without an answer.
    pub fn may_be_written(&self) -> bool {
        self.pending.as_ref().is_some_and(|pending| pending.unknown)
    }

    /// Takes in what happened and says what to do next.
    pub fn handle(&mut self, event: Event) -> Action {
        self.step(event).unwrap_or_else(|error| Action::Finish(Err(error)))
    }

    fn step(&mut self, event: Event) -> Result<Action, ApplyError> {
        match event {
            Event::Start | Event::SectionGone => Ok(Action::ReadHead),
            Event::Head(stored) => self.head_read(stored),
            Event::Sections(texts) => self.sections_read(&texts),
            Event::SectionsCreated => Ok(self.write_head()),
            Event::HeadWritten => Ok(self.written()),
            Event::HeadConflict => {
                self.pending.take_if(|pending| !pending.unknown);
                Ok(Action::ReadHead)
            }
            Event::HeadUnknown => {
                self.pending.iter_mut().for_each(|pending| pending.unknown = true);
                Ok(Action::ReadHead)
            }
        }
    }

    fn head_read(&mut self, stored: Option<StoredHead>) -> Result<Action, ApplyError> {
        let head = match &stored {
            Some(stored) => Head::parse(&stored.text)?,
            None => Head::default(),
        };
        let version = stored.as_ref().map(|stored| stored.version);
        if let Some(action) = self.resolve(&head, version)? {
            return Ok(action);
        }
        let missing: Vec<String> =
            self.base.missing_sections(&head).into_iter().map(str::to_owned).collect();
        let text = stored.map_or_else(|| head.to_text(), |stored| stored.text);
        self.reading = Some(Reading { version, text });
        if missing.is_empty() {
            return self.sections_read(&[]);
        }
        Ok(Action::ReadSections(missing))
    }

    /// Finds out whether the submission is in the head already: by a write whose answer was lost,
    /// or by an earlier run with the same id.
    fn resolve(&mut self, head: &Head, version: Option<u64>) -> Result<Option<Action>, ApplyError> {
        if let Some((&generation, _)) = head.recent.iter().find(|(_, id)| **id == self.id) {
            return Ok(Some(self.finish(generation)));
        }
        let Some(pending) = &self.pending else { return Ok(None) };
        if version == pending.replaces {
            return Ok(Some(self.write_head()));
        }
        let heads = head.generation.0.saturating_sub(pending.head.generation.0);
        if heads >= RECENT_SUBMISSIONS {
            return Err(ApplyError::OutcomeUnknown { heads });
        }
        self.pending = None;
        Ok(None)
    }

    fn sections_read(&mut self, texts: &[String]) -> Result<Action, ApplyError> {
        let Some(reading) = self.reading.take() else { return Ok(Action::ReadHead) };
        self.base = Snapshot::assemble(&reading.text, texts, Some(&self.base))?;
        let changes = match self.changes.take() {
            Some(changes) => changes,
            None => self.first_changes(),
        };
        let changes = self.changes.insert(changes);
        let config = changes.apply_to(self.base.config()).map_err(|objects| conflict(&objects))?;
        if changes.is_empty() || config == *self.base.config() {
            return Ok(self.finish(self.base.generation()));
        }
        config.validate().map_err(ApplyError::Invalid)?;
        self.prepare(&config, reading.version)
    }

    fn first_changes(&mut self) -> Changes {
        let config = self.base.config();
        if self.exact {
            return Changes::between(config, &Config::from_documents(self.puts.drain(..)));
        }
        Changes::against(config, self.puts.drain(..), self.removals.drain(..))
    }

    fn prepare(&mut self, config: &Config, replaces: Option<u64>) -> Result<Action, ApplyError> {
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
        let created: BTreeMap<String, String> =
            by_hash.filter(|(hash, _)| missing.contains(&hash.as_str())).collect();
        self.pending = Some(Pending { head, replaces, unknown: false });
        if created.is_empty() {
            return Ok(self.write_head());
        }
        Ok(Action::CreateSections(created))
    }

    fn next_head(&self, sections: BTreeMap<String, String>) -> Head {
        let last = self.base.head();
        let generation = Generation(last.generation.0 + 1);
        let mut recent = last.recent.clone();
        recent.insert(generation, self.id.clone());
        recent.retain(|written, _| generation.0 - written.0 < RECENT_SUBMISSIONS);
        Head { generation, submission: self.id.clone(), recent, sections }
    }

    fn write_head(&self) -> Action {
        match &self.pending {
            Some(pending) => {
                Action::WriteHead { replaces: pending.replaces, text: pending.head.to_text() }
            }
            None => Action::ReadHead,
        }
    }

    fn written(&mut self) -> Action {
        match &self.pending {
            Some(pending) => self.finish(pending.head.generation),
            None => Action::ReadHead,
        }
    }

    fn finish(&self, generation: Generation) -> Action {
        let changes = self.changes.clone().unwrap_or_default();
        Action::Finish(Ok(Applied { generation, changes }))
    }
}

fn conflict(objects: &[ObjectName]) -> ApplyError {
    ApplyError::Conflict(objects.iter().map(ToString::to_string).collect())
}
