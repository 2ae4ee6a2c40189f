//! A fake platform that loses responses and delays writes.

use std::collections::BTreeMap;

use rand::{Rng, rngs::StdRng};
use samphirespread_config::{
    Action, Applied, ApplyError, Config, Event, Head, Snapshot, StoredHead, Submission,
};
use samphirespread_core::prelude::*;

/// How the fake platform handles a write of the head.
#[derive(Clone, Copy, Debug)]
pub(crate) enum WriteOutcome {
    Answered,
    ResponseLost,
    RequestLost,
    Delayed,
}

impl WriteOutcome {
    pub(crate) fn random(rng: &mut StdRng) -> Self {
        match rng.random_range(0..10) {
            0 | 1 => Self::ResponseLost,
            2 => Self::RequestLost,
            3 => Self::Delayed,
            _ => Self::Answered,
        }
    }
}

/// A head that was written, with its configuration.
pub(crate) struct WrittenHead {
    pub(crate) generation: Generation,
    pub(crate) id: String,
    config: Config,
}

#[derive(Default)]
pub(crate) struct FakePlatform {
    head: Option<StoredHead>,
    sections: BTreeMap<String, String>,
    history: Vec<WrittenHead>,
    delayed_writes: Vec<(Option<u64>, String)>,
    lost_responses: usize,
    version: u64,
}

impl FakePlatform {
    pub(crate) fn history(&self) -> &[WrittenHead] {
        &self.history
    }

    pub(crate) fn lost_responses(&self) -> usize {
        self.lost_responses
    }

    pub(crate) fn read_head(&self) -> Option<StoredHead> {
        self.head.clone()
    }

    pub(crate) fn read_sections(&self, hashes: &[String]) -> Event {
        let texts = hashes.iter().map(|hash| self.sections.get(hash).cloned());
        match texts.collect() {
            Some(texts) => Event::Sections(texts),
            None => Event::SectionGone,
        }
    }

    pub(crate) fn create_sections(&mut self, sections: BTreeMap<String, String>) -> Event {
        self.sections.extend(sections);
        Event::SectionsCreated
    }

    pub(crate) fn write_head(
        &mut self,
        replaces: Option<u64>,
        text: String,
        outcome: WriteOutcome,
    ) -> Event {
        if let WriteOutcome::ResponseLost | WriteOutcome::RequestLost | WriteOutcome::Delayed =
            outcome
        {
            self.lost_responses += 1;
        }
        match outcome {
            WriteOutcome::Answered if self.compare_and_swap(replaces, &text) => Event::HeadWritten,
            WriteOutcome::Answered => Event::HeadConflict,
            WriteOutcome::ResponseLost => {
                self.compare_and_swap(replaces, &text);
                Event::HeadUnknown
            }
            WriteOutcome::RequestLost => Event::HeadUnknown,
            WriteOutcome::Delayed => {
                self.delayed_writes.push((replaces, text));
                Event::HeadUnknown
            }
        }
    }

    /// Executes a random delayed write. Returns false if there is none.
    pub(crate) fn execute_delayed_write(&mut self, rng: &mut StdRng) -> bool {
        if self.delayed_writes.is_empty() {
            return false;
        }
        let index = rng.random_range(0..self.delayed_writes.len());
        let (replaces, text) = self.delayed_writes.swap_remove(index);
        self.compare_and_swap(replaces, &text);
        true
    }

    fn compare_and_swap(&mut self, replaces: Option<u64>, text: &str) -> bool {
        if self.head.as_ref().map(|head| head.version) != replaces {
            return false;
        }
        self.version += 1;
        self.head = Some(StoredHead { version: self.version, text: text.to_owned() });
        let head = Head::parse(text).unwrap();
        let texts = head.sections.values().map(|hash| &self.sections[hash]);
        let config = Snapshot::assemble(text, texts, None).unwrap().config().clone();
        self.history.push(WrittenHead { generation: head.generation, id: head.submission, config });
        true
    }

    pub(crate) fn config_at(&self, generation: Generation) -> Config {
        let Some(index) = generation.0.checked_sub(1) else { return Config::default() };
        self.history[usize::try_from(index).unwrap()].config.clone()
    }

    /// Runs a submission without lost responses and expects it to be accepted.
    pub(crate) fn apply(&mut self, submission: Submission) -> Applied {
        self.finish(submission).unwrap()
    }

    pub(crate) fn finish(&mut self, mut submission: Submission) -> Result<Applied, ApplyError> {
        let mut action = submission.handle(Event::Start);
        loop {
            let event = match action {
                Action::ReadHead => Event::Head(self.read_head()),
                Action::ReadSections(hashes) => self.read_sections(&hashes),
                Action::CreateSections(sections) => self.create_sections(sections),
                Action::WriteHead { replaces, text } => {
                    self.write_head(replaces, text, WriteOutcome::Answered)
                }
                Action::Finish(result) => return result,
            };
            action = submission.handle(event);
        }
    }
}
