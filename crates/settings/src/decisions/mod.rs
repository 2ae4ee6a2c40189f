//! Optional mechanisms in a gateway's decisions, which operators can switch off.

use std::str::FromStr;

use crate::{
    check::Values,
    schema::{KeySpec, Preset, SectionSpec, ValueKind},
};

/// An optional mechanism. Without it, requests are still served, but less efficiently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Mechanism {
    /// Moves running requests off engines that are about to load weights or to shut down.
    Relocations,
    /// Lets engines fetch shared parts from each other, not only from the store.
    EngineFetches,
    /// Lets routers report to each other which parts engines have read.
    ReadParts,
    /// Prefers, for a prompt, the engine where its shared parts are kept.
    PreferredEngines,
    /// Gives shared parts a preferred engine in each failure domain, where that pays off.
    LocalPreferredEngines,
    /// Sends engines with the newest weights no more requests than they have room for.
    NewestShare,
    /// Has engines read parts again while fetches from the store wait for each other.
    StoreDelay,
    /// Derives from the demand how long engines keep parts.
    PartLifetime,
    /// Learns how fast engines read.
    LearntSpeed,
    /// Uses the pace that servers state in their answers.
    ServerSpeed,
    /// Refuses requests that engines can't begin in time. It is off unless it is switched on.
    Admission,
    /// Divides what admission control admits between teams, and lets retries go before new requests. It is
    /// off unless it is switched on.
    TeamShares,
}

const MECHANISMS_BY_NAME: &[(&str, Mechanism)] = &[
    ("moves", Mechanism::Relocations),
    ("engine_fetches", Mechanism::EngineFetches),
    ("read_parts", Mechanism::ReadParts),
    ("homes", Mechanism::PreferredEngines),
    ("domain_homes", Mechanism::LocalPreferredEngines),
    ("newest_share", Mechanism::NewestShare),
    ("store_delay", Mechanism::StoreDelay),
    ("part_lifetime", Mechanism::PartLifetime),
    ("learnt_speed", Mechanism::LearntSpeed),
    ("server_speed", Mechanism::ServerSpeed),
    ("admission", Mechanism::Admission),
    ("team_shares", Mechanism::TeamShares),
];

/// The mechanisms that are off unless they are switched on.
const OPT_IN: &[Mechanism] = &[Mechanism::Admission, Mechanism::TeamShares];

const OPT_IN_NAMES: &[&str] = &["admission", "team_shares"];

const MECHANISM_NAMES: &[&str] = &{
    let mut names = [""; MECHANISMS_BY_NAME.len()];
    let mut index = 0;
    while index < MECHANISMS_BY_NAME.len() {
        names[index] = MECHANISMS_BY_NAME[index].0;
        index += 1;
    }
    names
};

impl FromStr for Mechanism {
    type Err = ();

    fn from_str(name: &str) -> Result<Self, ()> {
        let entry = MECHANISMS_BY_NAME.iter().find(|(known, _)| *known == name);
        entry.map(|(_, mechanism)| *mechanism).ok_or(())
    }
}

/// The choice of optional mechanisms.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DecisionSettings {
    /// The mechanisms that are switched off.
    pub off: Vec<Mechanism>,
    /// The mechanisms that are switched on, of those that are off otherwise.
    pub on: Vec<Mechanism>,
    /// The parts of the platform's rules that are in force, by the platform's names.
    pub contracts: Vec<String>,
}

impl DecisionSettings {
    /// Returns whether a mechanism is switched on.
    pub fn uses(&self, mechanism: Mechanism) -> bool {
        let is_on = !OPT_IN.contains(&mechanism) || self.on.contains(&mechanism);
        is_on && !self.off.contains(&mechanism)
    }
}

pub(crate) fn decisions(values: &Values) -> DecisionSettings {
    DecisionSettings {
        off: values.list("decisions", "off"),
        on: values.list("decisions", "on"),
        contracts: values.list("decisions", "contracts"),
    }
}

pub(crate) const DECISIONS: SectionSpec = SectionSpec {
    name: "decisions",
    optional: false,
    doc: "Optional mechanisms, and which of them are on.",
    keys: &[
        KeySpec {
            name: "off",
            kind: ValueKind::Choices(MECHANISM_NAMES),
            preset: Preset::Default(""),
            doc: "Those that are switched off.",
        },
        KeySpec {
            name: "on",
            kind: ValueKind::Choices(OPT_IN_NAMES),
            preset: Preset::Default(""),
            doc: "Those that are switched on, of the ones that are off otherwise.",
        },
        KeySpec {
            name: "contracts",
            kind: ValueKind::Names { max_chars: 40 },
            preset: Preset::Default(""),
            doc: "The platform's rules in force, by its names. Some switch a mechanism on; `off` goes \
                  first.",
        },
    ],
};
