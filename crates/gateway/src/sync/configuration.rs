//! Keeps the configuration current.

use std::{net::SocketAddr, sync::Arc};

use samphirespread_adapter::{
    Kind, Object, StoreError, configuration, objects::CONFIGURATION_NAME,
};
use samphirespread_core::prelude::*;
use samphirespread_logging::event;
use samphirespread_routing::table::Table;
use slog::info;

use super::{
    log_store_failure, log_unreadable,
    schedule::{Cause, Schedule},
};
use crate::{copies, gateway::Core, metrics};

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

impl ConfigurationReader {
    /// Reads the configuration from the store. While the store is down, the task that reads the lists
    /// finds out when it is back.
    async fn read(&self) {
        let core = &self.core;
        let is_reachable = core.state().reads.servers_up;
        if is_reachable {
            let began = core.now();
            let read = core.store.get(Kind::Configuration, CONFIGURATION_NAME).await;
            core.state().reads.configuration_up = read.is_ok();
            self.apply_read(read, began);
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
        let held = core.state().configuration_object.as_ref().map(|object| object.revision);
        let fetched = copies::fetch_configuration(address, held).await;
        let took_ms = core.now().ms_since(began);
        let (copy, bytes) = match fetched {
            Ok(fetched) => fetched,
            Err(error) => {
                info!(core.log, "{}", event::COPIES_NOT_HAD; "router" => %address,
                    "of" => "configuration", "error" => %error, "took_ms" => took_ms);
                return false;
            }
        };
        info!(core.log, "{}", event::COPIES_HAD; "router" => %address, "of" => "configuration",
            "age_ms" => copy.age_ms, "bytes" => bytes, "took_ms" => took_ms);
        if let Some(object) = copy.object {
            self.apply_object(Object::clone(&object), began.minus_ms(copy.age_ms));
        }
        true
    }

    fn apply_read(&self, read: Result<Option<Object>, StoreError>, began: MonoTime) {
        let object = match read {
            Ok(object) => object,
            Err(error) => return log_store_failure(&self.core, "configuration", &error),
        };
        let took_ms = self.core.now().ms_since(began);
        self.core.metrics.store_call_s.observe(metrics::seconds(took_ms));
        match object {
            Some(object) => self.apply_object(object, began),
            // Without a configuration in the store there is none that could be out of date.
            None => self.core.state().contact.platform_answered(began),
        }
    }

    fn apply_object(&self, object: Object, began: MonoTime) {
        match configuration::decode(&object.spec) {
            Ok(decoded) => adopt(&self.core, decoded, object, began),
            // A configuration that can't be decoded doesn't confirm the one in force.
            Err(error) => log_unreadable(&self.core, "configuration", &error),
        }
    }
}

/// Puts a configuration in force, unless a newer one is, and records when it was read.
fn adopt(core: &Core, decoded: configuration::Decoded, object: Object, began: MonoTime) {
    let configuration::Decoded { configuration, unreadable } = decoded;
    for error in &unreadable {
        log_unreadable(core, "configuration", error);
    }
    let now = core.now();
    let generation = configuration.generation;
    let mut state = core.state();
    let known = state.table.as_ref().map(|table| table.configuration().generation);
    if known.is_some_and(|known| known > generation) {
        return;
    }
    let behind_ms = state.reads.behind_ms(now).unwrap_or(0);
    state.reads.configuration.read(generation, began);
    state.contact.platform_answered(began);
    if known == Some(generation) {
        return;
    }
    info!(core.log, "{}", event::CONFIGURATION_ADOPTED; "generation" => generation,
        "before" => known, "routes" => configuration.routes.len(),
        "services" => configuration.services.len(), "teams" => configuration.teams.len(),
        "read_age_ms" => now.ms_since(began), "behind_ms" => behind_ms);
    let quotas = configuration.teams.iter().map(|team| (&team.name, team.quota));
    state.quotas.set_teams(quotas, now);
    let limits = configuration.caller_limits;
    core.caller_timeouts.send_if_modified(|timeouts| timeouts.set(&limits, now));
    state.table = Some(Arc::new(Table::new(configuration)));
    state.configuration_object = Some(Arc::new(object));
}
