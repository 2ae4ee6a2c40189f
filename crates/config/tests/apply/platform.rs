//! A platform that loses answers and carries writes out late.

use std::collections::BTreeMap;

use rand::{Rng, rngs::StdRng};
use samphirespread_config::{
    Action, Applied, ApplyError, Config, Event, Head, Snapshot, StoredHead, Submission,
};
use samphirespread_core::prelude::*;

/// What becomes of a write.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fate {
    Answered,
    AnswerLost,
    RequestLost,
    Late,
}

impl Fate {
    pub(crate) fn random(rng: &mut StdRng) -> Self {
        match rng.random_range(0..10) {
            0 | 1 => Self::AnswerLost,
            2 => Self::RequestLost,
            3 => Self::Late,
            _ => Self::Answered,
        }
    }
}

/// A head that was written.
pub(crate) struct Written {
    pub(crate) generation: Generation,
    pub(crate) id: String,
    config: Config,
}

#[derive(Default)]
pub(crate) struct FakePlatform {
    head: Option<StoredHead>,
    sections: BTreeMap<String, String>,
    history: Vec<Written>,
    late: Vec<(Option<u64>, String)>,
    lost_answers: usize,
    version: u64,
}

impl FakePlatform {
    pub(crate) fn history(&self) -> &[Written] {
        &self.history
    }

    pub(crate) fn lost_answers(&self) -> usize {
        self.lost_answers
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

    pub(crate) fn write_head(&mut self, replaces: Option<u64>, text: String, fate: Fate) -> Event {
        if let Fate::AnswerLost | Fate::RequestLost | Fate::Late = fate {
            self.lost_answers += 1;
        }
        match fate {
            Fate::Answered if self.swap(replaces, &text) => Event::HeadWritten,
            Fate::Answered => Event::HeadConflict,
            Fate::AnswerLost => {
                self.swap(replaces, &text);
                Event::HeadUnknown
            }
            Fate::RequestLost => Event::HeadUnknown,
            Fate::Late => {
                self.late.push((replaces, text));
                Event::HeadUnknown
            }
        }
    }

    /// Carries a late write out, if there is one.
    pub(crate) fn late_write(&mut self, rng: &mut StdRng) -> bool {
        if self.late.is_empty() {
            return false;
        }
        let index = rng.random_range(0..self.late.len());
        let (replaces, text) = self.late.swap_remove(index);
        self.swap(replaces, &text);
        true
    }

    fn swap(&mut self, replaces: Option<u64>, text: &str) -> bool {
        if self.head.as_ref().map(|head| head.version) != replaces {
            return false;
        }
        self.version += 1;
        self.head = Some(StoredHead { version: self.version, text: text.to_owned() });
        let head = Head::parse(text).unwrap();
        let texts = head.sections.values().map(|hash| &self.sections[hash]);
        let config = Snapshot::assemble(text, texts, None).unwrap().config().clone();
        self.history.push(Written { generation: head.generation, id: head.submission, config });
        true
    }

    pub(crate) fn config_at(&self, generation: Generation) -> Config {
        let Some(index) = generation.0.checked_sub(1) else { return Config::default() };
        self.history[usize::try_from(index).unwrap()].config.clone()
    }

    /// Carries a submission out with all answers.
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
                    self.write_head(replaces, text, Fate::Answered)
                }
                Action::Finish(result) => return result,
            };
            action = submission.handle(event);
        }
    }
}
