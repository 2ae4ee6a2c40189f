//! What in a request may crash the servers that run it.

use std::sync::OnceLock;

use bytes::Bytes;
use http::{Method, Uri};
use samphirespread_adapter::headers::RequestFacts;
use samphirespread_core::prelude::*;
use samphirespread_routing::crash_causes::{CauseKey, CauseKind};

/// Something in a request that may crash servers.
#[derive(Clone, Debug)]
pub(crate) struct PossibleCause {
    pub(crate) key: CauseKey,
    /// The id of the part of the prompt; `None` for the request as a whole.
    pub(crate) part: Option<Box<str>>,
}

impl PossibleCause {
    pub(crate) fn kind(&self) -> CauseKind {
        match self.part {
            Some(_) => CauseKind::Part,
            None => CauseKind::Request,
        }
    }
}

/// The possible causes in one request, each more specific than the one before.
#[derive(Debug)]
pub(crate) struct PossibleCauses {
    /// The parts of the prompt that other requests may share.
    parts: Vec<PossibleCause>,
    /// The request as a whole. Most requests never need it, as it takes a hash of the body.
    request: OnceLock<PossibleCause>,
}

impl PossibleCauses {
    pub(crate) fn of_parts(facts: &RequestFacts) -> Self {
        let parts = facts.generation.as_ref().map_or(&[][..], |it| it.shared_parts());
        let cause = |id: &str| PossibleCause { key: CauseKey::of_part(id), part: Some(id.into()) };
        let parts = parts.iter().map(|part| cause(&part.id)).collect();
        Self { parts, request: OnceLock::new() }
    }

    /// All of them. The arguments are those of the request, on each call.
    pub(crate) fn all(
        &self,
        team: Option<&TeamName>,
        method: &Method,
        uri: &Uri,
        body: &Bytes,
    ) -> Vec<PossibleCause> {
        let request = self.request.get_or_init(|| {
            let team = team.map_or("", TeamName::as_str);
            let path = uri.path_and_query().map_or("", |path| path.as_str());
            let key = CauseKey::of_request(team, method.as_str(), path, body);
            PossibleCause { key, part: None }
        });
        self.parts.iter().chain([request]).cloned().collect()
    }
}
