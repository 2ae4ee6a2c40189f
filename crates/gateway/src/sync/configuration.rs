//! Keeps the configuration current.

use std::{cmp::Ordering, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use samphirespread_adapter::{
    DecodeError, DocumentRead, DocumentState, Kind, StoreError,
    configuration::{Decoded, Decoder},
    objects::CONFIGURATION_NAME,
};
use samphirespread_core::prelude::*;
use samphirespread_logging::event;
use samphirespread_routing::{model::Configuration, table::Table};
use slog::info;
use tokio::task::yield_now;
use xxhash_rust::xxh3::xxh3_128;

use super::{
    lists::log_fleet_changes,
    log_store_failure, log_unreadable,
    schedule::{Cause, Schedule},
};
use crate::{
    copies::{self, ConfigurationCopy},
    crashes,
    fleet::NamedServices,
    gateway::Core,
    metrics,
    packing::pack,
    state::PackedConfiguration,
};

/// Routes that are decoded in one step. Requests are handled between two steps.
const ROUTES_PER_STEP: usize = 100;

/// Keeps the configuration current for as long as the process runs.
///
/// Reads at regular intervals if this router reads for all. Otherwise reads when another router
/// announces a newer configuration, and when nobody confirms this router's own.
pub(super) async fn follow(core: Arc<Core>) {
    let mut schedule =
        Schedule::new(|reads| reads.configuration_up, |reads, now| reads.configuration.age_ms(now));
    let reader = ConfigurationReader { core: core.clone() };
    loop {
        let cause = schedule.next(&core, &core.wake_configuration_reader).await;
        let is_announced = match cause {
            Some(_) => std::mem::take(&mut core.state().reads.configuration_news),
            None => false,
        };
        match cause {
            Some(Cause::ReadIsDue) => reader.read().await,
            Some(Cause::Announced) if is_announced => reader.read_announced().await,
            _ => {}
        }
    }
}

struct ConfigurationReader {
    core: Arc<Core>,
}

/// A configuration that was read, and what is known of it.
struct NewConfiguration {
    spec: Bytes,
    /// The same, as it is passed on. `None` if it has yet to be compressed.
    packed: Option<Bytes>,
    /// The store's position at which it was written.
    position: StorePosition,
    /// The store's position up to which it is the newest.
    as_of: StorePosition,
    read_began: MonoTime,
}

impl ConfigurationReader {
    /// Reads the configuration from the store. While the store is down, the task that reads the lists
    /// finds out when it is back.
    async fn read(&self) {
        let core = &self.core;
        let (is_reachable, since) = {
            let state = core.state();
            (state.reads.servers_up, state.packed_configuration.as_ref().map(|known| known.as_of))
        };
        if is_reachable {
            let began = core.now();
            let read = core.store.document(Kind::Configuration, CONFIGURATION_NAME, since).await;
            core.state().reads.configuration_up = read.is_ok();
            self.apply_read(read, began).await;
        }
        let announced_by = {
            let mut state = core.state();
            let address = state.reads.configuration_from.take();
            address.filter(|_| !state.reads.is_up())
        };
        if let Some(address) = announced_by {
            self.read_from_router(address).await;
        }
    }

    /// Fetches a configuration that another router has announced: from that router if it is known
    /// and answers, else from the store.
    async fn read_announced(&self) {
        let announced_by = self.core.state().reads.configuration_from.take();
        let was_fetched = match announced_by {
            Some(address) => self.read_from_router(address).await,
            None => false,
        };
        if !was_fetched {
            self.read().await;
        }
    }

    /// Fetches another router's configuration. Returns false if that fails.
    async fn read_from_router(&self, address: SocketAddr) -> bool {
        let core = &self.core;
        let began = core.now();
        let held = core.state().packed_configuration.as_ref().map(|known| known.position);
        let fetched = copies::fetch_configuration(address, held).await;
        let took_ms = core.now().ms_since(began);
        let copy = match fetched {
            Ok(copy) => copy,
            Err(error) => {
                info!(core.log, "{}", event::COPIES_NOT_HAD; "router" => %address,
                    "of" => "configuration", "error" => %error, "took_ms" => took_ms);
                return false;
            }
        };
        let ConfigurationCopy { age_ms, position, as_of, packed, spec } = copy;
        info!(core.log, "{}", event::COPIES_HAD; "router" => %address, "of" => "configuration",
            "age_ms" => age_ms, "bytes" => packed.len(), "took_ms" => took_ms);
        let read_began = began.minus_ms(age_ms);
        if spec.is_empty() {
            return true;
        }
        self.apply(NewConfiguration { spec, packed: Some(packed), position, as_of, read_began })
            .await;
        true
    }

    async fn apply_read(&self, read: Result<DocumentRead, StoreError>, began: MonoTime) {
        let DocumentRead { state: document, as_of } = match read {
            Ok(read) => read,
            Err(error) => return log_store_failure(&self.core, "configuration", &error),
        };
        let took_ms = self.core.now().ms_since(began);
        self.core.metrics.store_call_s.observe(metrics::seconds(took_ms));
        match document {
            DocumentState::Present(document) => {
                let (spec, position) = (document.spec, document.position);
                let new =
                    NewConfiguration { spec, packed: None, position, as_of, read_began: began };
                self.apply(new).await;
            }
            DocumentState::Unchanged => self.confirm(None, as_of, began),
            DocumentState::Absent => self.note_absent(as_of, began),
        }
    }

    /// Records that the configuration in force is still the newest one. `position`: where it was
    /// found, if it was read as a whole.
    fn confirm(&self, position: Option<StorePosition>, as_of: StorePosition, began: MonoTime) {
        let mut state = self.core.state();
        let generation = state.reads.configuration.mark();
        state.reads.configuration.read(as_of.era(), generation, began);
        state.contact.platform_answered(began);
        if let Some(known) = &mut state.packed_configuration {
            known.position = position.unwrap_or(known.position);
            known.as_of = as_of;
        }
    }

    /// Records that the store has no configuration. Then there is none that could be out of date,
    /// unless the store was restored from a copy that lacks the one in force.
    fn note_absent(&self, as_of: StorePosition, began: MonoTime) {
        let mut state = self.core.state();
        let known = state.packed_configuration.as_ref();
        if known.is_none_or(|known| known.as_of.is_same_era(as_of)) {
            state.contact.platform_answered(began);
        }
    }

    async fn apply(&self, new: NewConfiguration) {
        if let Err(error) = self.try_apply(new).await {
            // A configuration that can't be decoded doesn't confirm the one in force.
            log_unreadable(&self.core, "configuration", &error);
        }
    }

    /// Puts a configuration in force, unless that or a newer one is.
    async fn try_apply(&self, new: NewConfiguration) -> Result<(), DecodeError> {
        let NewConfiguration { spec, packed, position, as_of, read_began } = new;
        let mut decoder = Decoder::new(&spec)?;
        let digest = xxh3_128(&spec);
        match self.compare(decoder.generation(), digest, as_of) {
            Comparison::Older => {
                self.log_left_out(decoder.generation(), position);
                return Ok(());
            }
            Comparison::Same => {
                self.confirm(Some(position), as_of, read_began);
                return Ok(());
            }
            Comparison::Newer => {}
        }
        while decoder.decode_routes(ROUTES_PER_STEP) {
            yield_now().await;
        }
        let decoded = decoder.finish();
        // Other routers ask for it as soon as it is in force here.
        let bytes = match packed {
            Some(packed) => packed,
            None => pack(&spec).await,
        };
        adopt(
            &self.core,
            decoded,
            PackedConfiguration { bytes, digest, position, as_of },
            read_began,
        );
        Ok(())
    }

    /// Compares a configuration with the one in force.
    ///
    /// The higher generation is the newer configuration in every era of the store, so that a key
    /// which was withdrawn stays withdrawn when the store returns from a copy. Within an era, equal
    /// generations are the same configuration. In a later era the number may be used again for
    /// another one, which is newer; a router that knows the earlier era only confirms nothing.
    fn compare(&self, generation: u64, digest: u128, as_of: StorePosition) -> Comparison {
        let state = self.core.state();
        let (Some(table), Some(known)) = (&state.table, &state.packed_configuration) else {
            return Comparison::Newer;
        };
        let order = generation.cmp(&table.configuration().generation);
        match (order, as_of.era().cmp(&known.as_of.era())) {
            (Ordering::Greater, _) => Comparison::Newer,
            (Ordering::Less, _) | (Ordering::Equal, Ordering::Less) => Comparison::Older,
            (Ordering::Equal, Ordering::Equal) => Comparison::Same,
            (Ordering::Equal, Ordering::Greater) if digest == known.digest => Comparison::Same,
            (Ordering::Equal, Ordering::Greater) => Comparison::Newer,
        }
    }

    /// Logs that a configuration of the store is older than the one in force, once for each.
    fn log_left_out(&self, found: u64, position: StorePosition) {
        let core = &self.core;
        let last = core.state().left_out_configuration.replace(position);
        if last == Some(position) {
            return;
        }
        let generation = core.state().reads.configuration.mark();
        info!(core.log, "{}", event::CONFIGURATION_LEFT_OUT; "generation" => generation,
            "found" => found, "position" => %position);
    }
}

/// What a configuration that was read is, compared with the one in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Comparison {
    Older,
    Same,
    Newer,
}

/// Puts a configuration in force, and records when it was read.
fn adopt(core: &Core, decoded: Decoded, packed: PackedConfiguration, read_began: MonoTime) {
    let Decoded { configuration, unreadable } = decoded;
    for error in &unreadable {
        log_unreadable(core, "configuration", error);
    }
    let table = Table::new(configuration);
    let configuration = table.configuration();
    let now = core.now();
    let mut state = core.state();
    let behind_ms = state.reads.behind_ms(now).unwrap_or(0);
    let known = state.table.as_ref().map(|table| table.configuration().generation);
    state.reads.configuration.read(packed.as_of.era(), configuration.generation, read_began);
    state.contact.platform_answered(read_began);
    info!(core.log, "{}", event::CONFIGURATION_ADOPTED; "generation" => configuration.generation,
        "before" => known, "routes" => configuration.routes.len(),
        "services" => configuration.services.len(), "teams" => configuration.teams.len(),
        "read_age_ms" => now.ms_since(read_began), "behind_ms" => behind_ms);
    let services = named_services(configuration);
    let quotas = configuration.teams.iter().map(|team| (&team.name, team.quota));
    state.quotas.set_teams(quotas, now);
    core.caller_timeouts
        .send_if_modified(|timeouts| timeouts.set(&configuration.caller_limits, now));
    let changes = state.set_services(services, now);
    state.table = Some(Arc::new(table));
    state.observe_software(now, now);
    state.packed_configuration = Some(packed);
    crashes::count_ended(core, &mut state);
    if state.server_list.needs_listing() {
        state.reads.news.servers = true;
        core.wake_list_reader.notify_one();
    }
    drop(state);
    log_fleet_changes(core, changes);
}

fn named_services(configuration: &Configuration) -> NamedServices {
    let services = configuration.services.iter();
    let with_engines = services.clone().filter(|service| service.engine.is_some());
    NamedServices {
        all: services.map(|service| service.name.clone()).collect(),
        with_engines: with_engines.map(|service| service.name.clone()).collect(),
    }
}
