//! Keeps what the gateway believes in step with the store.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use samphirespread_adapter::{
    Changes, DecodeError, Kind, Listing, Object, StoreError, configuration,
    objects::CONFIGURATION_NAME,
};
use samphirespread_core::prelude::*;
use samphirespread_logging::event;
use samphirespread_routing::{freshness::Copy, table::Table};
use slog::{info, warn};
use tokio::{task::JoinSet, time};
use tokio_util::sync::CancellationToken;

use crate::{
    admin::HeldRevisions,
    cache_follow, cache_pull, copies,
    fleet::FleetNews,
    gateway::Core,
    metrics::{self, count},
    orders, peers, publish,
    reads::{self, Parts},
    routers,
    server_list::{ServerList, Unreadable},
    weights,
};

/// Pause after a failed call.
const PAUSE_MS: u64 = 200;
/// Pause after a failed call where another router asks the store more often.
const OUTAGE_PAUSE_MS: u64 = 900;
/// Copies that nobody confirms for this long beyond the time between two reads are read again.
const UNCONFIRMED_MS: u64 = 900;
/// Time between two looks whether to read.
const LOOK_MS: u64 = 100;
/// Pause between two reads that other routers' news bring about.
const NEWS_PAUSE_MS: u64 = 150;
/// Rounds of reads between two reads of the list of routers.
const ROUNDS_A_ROUTERS_READ: u64 = 3;
/// Entries that lapsed during an outage of the store are back this long after it.
const LAPSED_RETURN_MS: u64 = 2_000;
/// Time between two clean-ups of idle connections.
const PRUNE_MS: u64 = 1_000;

/// Starts all tasks. They end with `stop`.
pub(crate) fn spawn(core: &Arc<Core>, stop: &CancellationToken) {
    let core = core.clone();
    let stop = stop.clone();
    tokio::spawn(async move {
        let mut tasks = JoinSet::new();
        tasks.spawn(poll(core.clone()));
        tasks.spawn(weights::follow(core.clone()));
        tasks.spawn(weights::record(core.clone()));
        tasks.spawn(cache_follow::follow(core.clone()));
        tasks.spawn(cache_pull::pull(core.clone()));
        tasks.spawn(peers::receive(core.clone()));
        tasks.spawn(publish::publish(core.clone()));
        tasks.spawn(orders::hold(core.clone()));
        tasks.spawn(prune(core));
        stop.cancelled().await;
        // Dropping the set ends its tasks.
        drop(tasks);
    });
}

async fn prune(core: Arc<Core>) {
    loop {
        time::sleep(Duration::from_millis(PRUNE_MS)).await;
        let now = core.now();
        core.state().fleet.prune(now);
    }
}

/// Logs when keys stop or begin to be trusted, and when this router begins or stops to read for others.
fn log_turns(core: &Core) {
    let now = core.now();
    let (in_touch, leads, age_ms, turned, changed) = {
        let mut state = core.state();
        let in_touch = state.table.is_some() && !state.contact.is_stale(now);
        let leads = reads::leads(core, &state, now);
        let turned = std::mem::replace(&mut state.was_in_touch, in_touch) != in_touch;
        let changed = std::mem::replace(&mut state.was_leading, leads) != leads;
        (in_touch, leads, state.contact.age_ms(now), turned, changed)
    };
    match (turned, in_touch) {
        (true, true) => info!(core.log, "{}", event::IN_TOUCH; "contact_age_ms" => age_ms),
        (true, false) => warn!(core.log, "{}", event::OUT_OF_TOUCH; "contact_age_ms" => age_ms),
        (false, _) => {}
    }
    match (changed, leads) {
        (true, true) => info!(core.log, "{}", event::READS_FOR_OTHERS),
        (true, false) => info!(core.log, "{}", event::LEAVES_READING),
        (false, _) => {}
    }
}

/// What a read of the servers gave.
enum ServersRead {
    Listed(Listing),
    Changed(Changes),
}

/// Keeps the copies current: by reading the store when this router leads, when another router tells
/// of a copy that differs, and when nobody confirms the own ones.
async fn poll(core: Arc<Core>) {
    let mut poller =
        Poller { core, is_up: true, servers: ServerList::default(), missing_until: MonoTime::ZERO };
    let mut round: u64 = 0;
    let mut last = None;
    let mut last_news: Option<MonoTime> = None;
    loop {
        let core = poller.core.clone();
        let wait_ms = poller.wait_ms(last);
        let had_news = tokio::select! {
            () = time::sleep(Duration::from_millis(wait_ms)) => false,
            () = core.wake_store_reader.notified() => true,
        };
        log_turns(&core);
        let now = core.now();
        if !had_news && poller.wait_ms(last) > 0 {
            continue;
        }
        if had_news && last_news.is_some_and(|last| now.ms_since(last) < NEWS_PAUSE_MS) {
            time::sleep(Duration::from_millis(NEWS_PAUSE_MS)).await;
        }
        last_news = if had_news { Some(core.now()) } else { last_news };
        let news = std::mem::take(&mut core.state().reads.news);
        if poller.wait_ms(last) == 0 {
            last = Some(now);
            let routers = news.routers || round.is_multiple_of(ROUNDS_A_ROUTERS_READ);
            poller.read(Parts { configuration: true, servers: true, routers }).await;
            round += 1;
        } else if news.any() {
            poller.read_news(news).await;
        }
    }
}

struct Poller {
    core: Arc<Core>,
    is_up: bool,
    servers: ServerList,
    /// Until then servers that are missing on the list are kept.
    missing_until: MonoTime,
}

impl Poller {
    /// Time until the next look whether to read.
    fn wait_ms(&self, last: Option<MonoTime>) -> u64 {
        let Some(last) = last else { return 0 };
        let now = self.core.now();
        let poll_ms = self.core.settings.store.poll_ms;
        let state = self.core.state();
        let since_last_ms = now.ms_since(last);
        let due_in_ms = if reads::leads(&self.core, &state, now) {
            let pause_ms = match state.reads.is_up {
                true => poll_ms,
                false if reads::probes(&self.core, &state, now) => PAUSE_MS,
                false => OUTAGE_PAUSE_MS,
            };
            pause_ms.saturating_sub(since_last_ms)
        } else {
            let confirmed_ms =
                state.reads.oldest_age_ms(ROUNDS_A_ROUTERS_READ, now).min(since_last_ms);
            let unconfirmed_in_ms = (poll_ms + UNCONFIRMED_MS).saturating_sub(confirmed_ms);
            // The store may be back for this router too, whoever found it first.
            let retry_in_ms = OUTAGE_PAUSE_MS.saturating_sub(since_last_ms);
            if state.reads.is_up { unconfirmed_in_ms } else { unconfirmed_in_ms.min(retry_in_ms) }
        };
        due_in_ms.min(LOOK_MS)
    }

    /// Reads some of what the store holds.
    async fn read(&mut self, parts: Parts) {
        let core = self.core.clone();
        let began = core.now();
        // One call shows whether a store that was down is back.
        let early = if self.is_up { None } else { Some(self.read_configuration().await) };
        let is_down = early.as_ref().is_some_and(Result::is_err);
        let parts = if is_down { Parts::default() } else { parts };
        let (configuration, servers, routers) = tokio::join!(
            async {
                match early {
                    Some(read) => Some(read),
                    None => read_if(parts.configuration, self.read_configuration()).await,
                }
            },
            read_if(parts.servers, self.read_servers()),
            read_if(parts.routers, core.store.list(Kind::Routers)),
        );
        let is_up = match (&configuration, &servers) {
            (None, None) => self.is_up,
            (configuration, servers) => {
                !has_failed(configuration.as_ref()) && !has_failed(servers.as_ref())
            }
        };
        if let Some(configuration) = configuration {
            self.take_configuration(configuration, began);
        }
        if let Some(servers) = servers {
            self.take_servers(servers, began);
        }
        match routers {
            Some(Ok(listing)) => routers::take(&core, &listing, began).await,
            Some(Err(error)) => self.failed("routers", &error),
            None => {}
        }
        self.note(is_up);
        let wanted_from = {
            let mut state = core.state();
            state.reads.is_up = is_up;
            state.reads.wanted_from.take()
        };
        if let Some(address) = wanted_from.filter(|_| !is_up) {
            self.read_from_router(address).await;
        }
    }

    /// Reads what another router's copies have and this one's don't: from that router, else from the store.
    async fn read_news(&mut self, news: Parts) {
        let told_by = self.core.state().reads.wanted_from.take();
        let is_had = match told_by {
            Some(address) => self.read_from_router(address).await,
            None => false,
        };
        if !is_had {
            self.read(news).await;
        }
    }

    /// Reads from another router. Returns whether that router knew of this one, too.
    async fn read_from_router(&mut self, address: SocketAddr) -> bool {
        let began = self.core.now();
        let copies = match copies::fetch(address, self.held()).await {
            Ok(copies) => copies,
            Err(error) => {
                info!(self.core.log, "{}", event::COPIES_NOT_HAD; "router" => %address, "error" => %error);
                return false;
            }
        };
        info!(self.core.log, "{}", event::COPIES_HAD; "router" => %address,
            "configuration_age_ms" => copies.configuration_age_ms,
            "servers_age_ms" => copies.servers_age_ms, "servers_changed" => copies.servers.len());
        if let Some(object) = copies.configuration {
            let read_began = began.minus_ms(copies.configuration_age_ms);
            self.take_configuration_object(Object::clone(&object), read_began);
        }
        let read_began = began.minus_ms(copies.servers_age_ms);
        if self.core.state().reads.servers.confirmed() < Some(read_began) {
            let revision = copies.servers_revision;
            let unreadable = self.servers.take_over(copies.servers, &copies.server_names, revision);
            self.use_servers(&unreadable, read_began);
        }
        let read_began = began.minus_ms(copies.routers_age_ms);
        let Some(routers) = copies.routers else { return true };
        let is_older = self.core.state().reads.routers.confirmed() >= Some(read_began);
        is_older || routers::take_over(&self.core, &routers, read_began)
    }

    /// What this router has already.
    fn held(&self) -> HeldRevisions {
        let state = self.core.state();
        HeldRevisions {
            configuration: state.configuration_object.as_ref().map(|object| object.revision),
            servers: self.servers.revision(),
            routers: state.reads.routers.confirmed().map(|_| state.reads.routers.mark()),
        }
    }

    fn note(&mut self, is_up: bool) {
        if std::mem::replace(&mut self.is_up, is_up) == is_up {
            return;
        }
        let age_ms = self.core.state().contact.age_ms(self.core.now());
        if is_up {
            info!(self.core.log, "{}", event::STORE_REGAINED);
        } else {
            warn!(self.core.log, "{}", event::STORE_LOST; "contact_age_ms" => age_ms);
        }
    }

    fn failed(&self, call: &'static str, error: &StoreError) {
        if self.is_up {
            log_failed(&self.core, call, error);
        } else {
            count(&self.core.metrics.store_failures, call);
        }
    }

    fn take_configuration(&self, read: Result<Option<Object>, StoreError>, began: MonoTime) {
        let object = match read {
            Ok(object) => object,
            Err(error) => return self.failed("configuration", &error),
        };
        let took_ms = self.core.now().ms_since(began);
        self.core.metrics.store_call_s.observe(metrics::seconds(took_ms));
        match object {
            Some(object) => self.take_configuration_object(object, began),
            // There is nothing to be out of touch with.
            None => self.core.state().contact.platform_answered(began),
        }
    }

    fn take_configuration_object(&self, object: Object, began: MonoTime) {
        match configuration::decode(&object.spec) {
            Ok(decoded) => adopt(&self.core, decoded, object, began),
            // A configuration that can't be read leaves what is in force unconfirmed.
            Err(error) => log_unreadable(&self.core, "configuration", &error),
        }
    }

    async fn read_configuration(&self) -> Result<Option<Object>, StoreError> {
        self.core.store.get(Kind::Configuration, CONFIGURATION_NAME).await
    }

    /// Fetches what has changed among the servers, or all of them where that is not known.
    async fn read_servers(&self) -> Result<ServersRead, StoreError> {
        let store = &self.core.store;
        if let Some(revision) = self.servers.revision() {
            match store.watch(Kind::BackendServers, revision, 0).await {
                // A store that was put back to an earlier state tells nothing of what has changed.
                Ok(changes) if changes.revision < revision => {}
                Err(StoreError::HistoryGone) => {}
                read => return read.map(ServersRead::Changed),
            }
        }
        store.list(Kind::BackendServers).await.map(ServersRead::Listed)
    }

    fn take_servers(&mut self, read: Result<ServersRead, StoreError>, began: MonoTime) {
        let read = match read {
            Ok(read) => read,
            Err(error) => return self.failed("servers", &error),
        };
        let outage_ms = 2 * self.core.settings.store.poll_ms + UNCONFIRMED_MS;
        let confirmed = self.core.state().reads.servers.confirmed();
        if confirmed.is_some_and(|confirmed| began.ms_since(confirmed) > outage_ms) {
            self.missing_until = began.plus_ms(LAPSED_RETURN_MS);
        }
        let unreadable = match read {
            ServersRead::Changed(changes) if changes.changes.is_empty() && confirmed.is_some() => {
                self.servers.apply(Vec::new(), changes.revision);
                self.note_nameless(&changes.unreadable);
                let mut state = self.core.state();
                state.server_revision = self.servers.revision();
                let mark = state.reads.servers.mark();
                state.reads.servers.read(mark, began);
                return;
            }
            ServersRead::Changed(changes) => {
                let unreadable = self.servers.apply(changes.changes, changes.revision);
                self.note_nameless(&changes.unreadable);
                unreadable
            }
            ServersRead::Listed(listing) => {
                for error in &listing.unreadable {
                    log_unreadable(&self.core, "server", error);
                }
                let objects = listing.objects.into_iter().map(Arc::new);
                let (servers, unreadable) = ServerList::new(objects, Some(listing.revision));
                self.servers = servers;
                unreadable
            }
        };
        self.use_servers(&unreadable, began);
    }

    /// Takes in changes without a readable name. What they change is not known, so all is read again.
    fn note_nameless(&mut self, unreadable: &[DecodeError]) {
        for error in unreadable {
            log_unreadable(&self.core, "server", error);
        }
        if !unreadable.is_empty() {
            self.servers.forget_revision();
        }
    }

    /// Puts the list in force.
    fn use_servers(&self, unreadable: &[Unreadable], began: MonoTime) {
        for entry in unreadable {
            log_unreadable(&self.core, &entry.name, &entry.error);
        }
        let keeps_missing = began < self.missing_until;
        let now = self.core.now();
        let mut state = self.core.state();
        let news = state.fleet.replace(self.servers.servers(), keeps_missing, now);
        state.has_fleet = true;
        if keeps_missing {
            // What is missing has to be looked at again, whatever others say of the list.
            state.reads.servers = Copy::default();
        } else {
            state.reads.servers.read(self.servers.mark(), began);
        }
        state.server_objects = self.servers.objects();
        state.server_revision = self.servers.revision();
        drop(state);
        for item in news {
            match item {
                FleetNews::Appeared(id) => {
                    info!(self.core.log, "{}", event::SERVER_APPEARED; "server" => &*id);
                }
                FleetNews::Draining(id) => {
                    info!(self.core.log, "{}", event::SERVER_DRAINS; "server" => &*id, "source" => "list");
                }
                FleetNews::Gone(id) => {
                    info!(self.core.log, "{}", event::SERVER_GONE; "server" => &*id);
                }
                FleetNews::Restarted(id) => {
                    info!(self.core.log, "{}", event::SERVER_RESTARTED; "server" => &*id);
                }
            }
        }
    }
}

/// Counts and logs a call to the store that failed.
pub(crate) fn log_failed(core: &Core, call: &'static str, error: &StoreError) {
    count(&core.metrics.store_failures, call);
    warn!(core.log, "{}", event::STORE_CALL_FAILED; "call" => call, "error" => %error);
}

async fn read_if<T>(wanted: bool, call: impl Future<Output = T>) -> Option<T> {
    if wanted { Some(call.await) } else { None }
}

fn has_failed<T>(call: Option<&Result<T, StoreError>>) -> bool {
    call.is_some_and(Result::is_err)
}

/// Puts a configuration in force, unless a newer one is, and notes the read that gave it.
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
    state.reads.configuration.read(generation, began);
    state.contact.platform_answered(began);
    if known == Some(generation) {
        return;
    }
    info!(core.log, "{}", event::CONFIGURATION_ADOPTED; "generation" => generation,
        "before" => known, "routes" => configuration.routes.len(),
        "services" => configuration.services.len(), "teams" => configuration.teams.len(),
        "read_age_ms" => now.ms_since(began));
    let quotas = configuration.teams.iter().map(|team| (&team.name, team.quota));
    state.quotas.set_teams(quotas, now);
    state.table = Some(Arc::new(Table::new(configuration)));
    state.configuration_object = Some(Arc::new(object));
}

/// Logs an entry that can't be read, once.
pub(crate) fn log_unreadable(core: &Core, name: &str, error: &DecodeError) {
    /// Entries that are remembered; past that they may be logged again.
    const MAX_REMEMBERED: usize = 1_000;
    let mut state = core.state();
    if state.unreadable.len() >= MAX_REMEMBERED {
        state.unreadable.clear();
    }
    if state.unreadable.insert(format!("{name}: {error}")) {
        warn!(core.log, "{}", event::ENTRY_LEFT_OUT; "entry" => name, "error" => %error);
    }
}
