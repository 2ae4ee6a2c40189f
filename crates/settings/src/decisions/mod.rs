//! Mechanisms of a gateway's decisions, which operators can switch off.

use std::str::FromStr;

use crate::{
    check::Values,
    schema::{KeySpec, Kind, Preset, SectionSpec},
};

/// A mechanism that requests are served without, if less well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Mechanism {
    /// Runs move off engines that are to load or that leave.
    Moves,
    /// Engines fetch shared parts from each other, not only from the store.
    EngineFetches,
    /// Routers tell each other which parts engines have read.
    ReadParts,
    /// Prompts prefer the engine where their shared parts are kept.
    Homes,
    /// Shared parts have a home in each failure domain, where that pays.
    DomainHomes,
    /// Engines with the newest weights get no more requests than they have room for.
    NewestShare,
    /// Parts are read again while fetches from the store wait for each other.
    StoreDelay,
    /// How long engines keep parts follows from the demand.
    PartLifetime,
    /// How fast engines read is learnt.
    LearntSpeed,
}

const NAMED: &[(&str, Mechanism)] = &[
    ("moves", Mechanism::Moves),
    ("engine_fetches", Mechanism::EngineFetches),
    ("read_parts", Mechanism::ReadParts),
    ("homes", Mechanism::Homes),
    ("domain_homes", Mechanism::DomainHomes),
    ("newest_share", Mechanism::NewestShare),
    ("store_delay", Mechanism::StoreDelay),
    ("part_lifetime", Mechanism::PartLifetime),
    ("learnt_speed", Mechanism::LearntSpeed),
];

const NAMES: &[&str] = &{
    let mut names = [""; NAMED.len()];
    let mut index = 0;
    while index < NAMED.len() {
        names[index] = NAMED[index].0;
        index += 1;
    }
    names
};

impl FromStr for Mechanism {
    type Err = ();

    fn from_str(name: &str) -> Result<Self, ()> {
        let named = NAMED.iter().find(|(known, _)| *known == name);
        named.map(|(_, mechanism)| *mechanism).ok_or(())
    }
}

/// Which mechanisms are in use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DecisionSettings {
    /// Those that are switched off.
    pub off: Vec<Mechanism>,
}

impl DecisionSettings {
    /// Whether a mechanism is in use.
    pub fn uses(&self, mechanism: Mechanism) -> bool {
        !self.off.contains(&mechanism)
    }
}

pub(crate) fn decisions(values: &Values) -> DecisionSettings {
    DecisionSettings { off: values.list("decisions", "off") }
}

pub(crate) const DECISIONS: SectionSpec = SectionSpec {
    name: "decisions",
    optional: false,
    doc: "Mechanisms that requests are served without, if less well.",
    keys: &[KeySpec {
        name: "off",
        kind: Kind::Choices(NAMES),
        preset: Preset::Default(""),
        doc: "Those that are switched off.",
    }],
};
