//! Decides which requests may use the same cached parts of prompts.
//!
//! A dedicated team shares parts with nobody; all other teams share them. Whom the others share with
//! changes with the set of dedicated teams, so their scope is named after that set: what a team's
//! requests made before it became dedicated is out of the others' reach from then on. A set that
//! returns finds its parts again. All routers with the same configuration agree, without any history.
//!
//! ```
//! use samphirespread_core::prelude::*;
//! use samphirespread_routing::cache_scope::CacheScopes;
//!
//! let (one, other) = (TeamName::new("one"), TeamName::new("other"));
//! let before = CacheScopes::new([]);
//! let after = CacheScopes::new([&one]);
//!
//! assert_eq!(before.of(Some(&one)), before.of(Some(&other)));
//! assert_ne!(after.of(Some(&other)), before.of(Some(&other)));
//! assert_ne!(after.of(Some(&other)), after.of(Some(&one)));
//! ```
//!
//! The price of a change of the set is that engines read all shared parts once more. A router whose
//! configuration may be out of date can't know the set, so its teams share nothing meanwhile
//! ([`CacheScope::unshared`]).

use std::collections::BTreeSet;

use samphirespread_core::prelude::*;
use xxhash_rust::xxh3::Xxh3;

/// Stands for the version of weights that are not known. Versions begin at 1.
const UNKNOWN_VERSION: u64 = 0;

/// The scopes that follow from the dedicated teams of one configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheScopes {
    dedicated: BTreeSet<TeamName>,
    /// Names the set of dedicated teams; `None` if it is empty.
    set: Option<u64>,
}

/// The requests that may use each other's cached parts.
///
/// It follows from a configuration by way of [`CacheScopes`], or from the team alone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheScope(Scope);

#[derive(Clone, Debug, PartialEq, Eq)]
enum Scope {
    /// Those of one team.
    Team(TeamName),
    /// Those without a team.
    Anonymous,
    /// Those of all teams outside a set of dedicated ones.
    Shared { set: Option<u64> },
}

impl CacheScopes {
    /// Creates the scopes for these dedicated teams, in any order.
    pub fn new<'a>(dedicated: impl IntoIterator<Item = &'a TeamName>) -> Self {
        let dedicated: BTreeSet<TeamName> = dedicated.into_iter().cloned().collect();
        let mut hasher = Xxh3::new();
        for team in &dedicated {
            // The length keeps names apart that would join to the same bytes.
            hasher.update(&team.as_str().len().to_le_bytes());
            hasher.update(team.as_str().as_bytes());
        }
        let set = (!dedicated.is_empty()).then(|| hasher.digest());
        Self { dedicated, set }
    }

    /// Returns the scope of a team's requests.
    pub fn of(&self, team: Option<&TeamName>) -> CacheScope {
        CacheScope(match team.filter(|team| self.dedicated.contains(*team)) {
            Some(team) => Scope::Team(team.clone()),
            None => Scope::Shared { set: self.set },
        })
    }
}

impl CacheScope {
    /// Returns the scope of a team's requests that shares no part with any other team, for a router
    /// that can't tell which teams are dedicated now.
    pub fn unshared(team: Option<&TeamName>) -> Self {
        Self(team.map_or(Scope::Anonymous, |team| Scope::Team(team.clone())))
    }
}

impl CacheScope {
    /// Returns the text under which engines find cached parts. Parts that were read with another
    /// version of the weights have another one.
    pub fn salt(&self, version: u64) -> String {
        match &self.0 {
            Scope::Team(team) => format!("{version}/{team}"),
            Scope::Anonymous => format!("{version}-"),
            Scope::Shared { set: Some(set) } => format!("{version}+{set:016x}"),
            Scope::Shared { set: None } => format!("{version}"),
        }
    }

    /// Returns a text under which no other request finds parts, for a request whose weights are not
    /// known.
    pub fn salt_of_request(&self, id: &str) -> String {
        // The length keeps ids and scopes apart that would join to the same text.
        format!("{}:{id}{}", id.len(), self.salt(UNKNOWN_VERSION))
    }
}
