//! Binds a stream to the version of the servers' software that began it.

use samphirespread_routing::{
    model::RouteKind,
    software::{KnownStream, SoftwareTag, StreamKey},
};

use super::ActiveRequest;
use crate::{metrics::count, select::StreamRole, stream_versions};

impl ActiveRequest {
    /// Finds out at which version of the servers' software the stream goes on that the caller takes
    /// up, if it takes one up. Returns false if that can't be known, so that it must not go on.
    pub(crate) async fn find_stream_version(&mut self) -> bool {
        if self.facts.last_event_id.is_none() || self.grant.route.kind != RouteKind::Stream {
            return true;
        }
        let Some(service) = self.service().map(|service| service.name.clone()) else { return true };
        let resumed = self.facts.resumes.as_deref();
        let stream = resumed.map(|first| StreamKey::new(&service, first));
        self.software = stream_versions::find(&self.core, &service, stream).await;
        let outcome = if self.software.is_some() { "goes_on" } else { "refused" };
        count(&self.core.metrics.streams_taken_up, outcome);
        self.software.is_some()
    }

    /// Records that the caller gets an event that a server of this version wrote, and for how long the
    /// stream may be taken up.
    pub(crate) fn stream_has_event(&mut self, software: SoftwareTag) {
        if self.software.replace(software).is_some() && self.facts.last_event_id.is_none() {
            return;
        }
        let Some(service) = self.service().filter(|_| self.grant.route.resumable) else { return };
        let first = match self.facts.last_event_id {
            None => self.facts.id.as_deref(),
            Some(_) => self.facts.resumes.as_deref(),
        };
        let Some(first) = first else { return };
        let known = KnownStream { stream: StreamKey::new(&service.name, first), version: software };
        let now = self.core.now();
        let mut state = self.core.state();
        let list_age_ms = state.reads.servers.age_ms(now);
        let is_sole = state.software.sole_version(&service.name, list_age_ms, now).is_some();
        let until = now.plus_ms(state.stream_memory_ms());
        state.streams.begin(known, until, !is_sole);
    }

    pub(super) fn stream_role(&self) -> StreamRole {
        match self.software {
            Some(version) => StreamRole::Continues(version),
            None if self.grant.route.resumable => StreamRole::Begins,
            None => StreamRole::None,
        }
    }
}
