//! Keeps the lists of servers and routers current.

use std::{net::SocketAddr, sync::Arc};

use samphirespread_adapter::{Changes, DecodeError, EncodedObject, Kind, StoreError};
use samphirespread_core::prelude::*;
use samphirespread_logging::event;
use slog::{info, warn};

use super::{
    log_era_change, log_role_changes, log_store_failure, log_unreadable,
    schedule::{Cause, Schedule, UNCONFIRMED_GRACE_MS},
};
use crate::{
    admin::HeldRevisions,
    copies, crashes,
    fleet::{FleetChange, ListedServer, ServerList, Unreadable, UnreadableEntries},
    gateway::Core,
    metrics::count,
    reads::ListParts,
    routers,
};

/// Rounds of reads between two reads of the list of routers.
const ROUNDS_PER_ROUTERS_READ: u64 = 3;
/// Entries that lapsed during an outage of the store, or that it lost, are back on the list this long
/// after it.
const LAPSED_ENTRY_GRACE_MS: u64 = 2_000;

/// Where a list comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListSource {
    Store,
    OtherRouter,
}

/// The result of a read of the servers.
struct ServersRead {
    entries: ServerEntries,
    unreadable: UnreadableEntries,
    /// The errors of entries without a readable name.
    nameless: Vec<DecodeError>,
}

/// The entries that a read of the servers returned.
enum ServerEntries {
    Listed(ServerList),
    Changed(Changes<ListedServer>),
}

/// Keeps the lists current for as long as the process runs.
///
/// Reads at regular intervals if this router reads for all. Otherwise reads when another router
/// announces a list that differs, and when nobody confirms this router's lists.
pub(super) async fn follow(core: Arc<Core>) {
    let mut reader = ListReader { core: core.clone(), keep_missing_until: MonoTime::ZERO };
    let mut schedule = Schedule::new(
        |reads| reads.servers_up,
        |reads, now| reads.oldest_list_age_ms(ROUNDS_PER_ROUTERS_READ, now),
    );
    let mut rounds_without_routers = ROUNDS_PER_ROUTERS_READ;
    loop {
        let cause = schedule.next(&core, &core.wake_list_reader).await;
        log_role_changes(&core);
        log_era_change(&core);
        let Some(cause) = cause else { continue };
        let outdated = std::mem::take(&mut core.state().reads.news);
        match cause {
            Cause::ReadIsDue => {
                // A list that could not be read stays due, so that a router that starts knows the
                // others as soon as the store answers.
                let is_due = rounds_without_routers + 1 >= ROUNDS_PER_ROUTERS_READ;
                let routers = outdated.routers || is_due;
                let read = reader.read(ListParts { servers: true, routers }).await;
                rounds_without_routers = if read.routers { 0 } else { rounds_without_routers + 1 };
            }
            Cause::Announced if outdated.any() => reader.read_outdated(outdated).await,
            Cause::Announced => {}
        }
    }
}

struct ListReader {
    core: Arc<Core>,
    /// Servers that are missing on the list are kept until then.
    keep_missing_until: MonoTime,
}

impl ListReader {
    /// Reads the requested lists from the store. Returns those that were read.
    ///
    /// The servers come first, as requests must not go on to one that leaves. If the store was down,
    /// that call also shows whether it is back.
    async fn read(&mut self, parts: ListParts) -> ListParts {
        let mut read = ListParts::default();
        let core = self.core.clone();
        let began = core.now();
        let was_up = core.state().reads.servers_up;
        let mut is_up = was_up;
        if parts.servers || !was_up {
            let servers = self.read_servers().await;
            is_up = servers.is_ok();
            read.servers = is_up;
            self.apply_servers_read(servers, began);
            self.record_availability(is_up);
        }
        if parts.routers && is_up {
            let began = core.now();
            match core.store.list(Kind::Routers, |entry| routers::decode(&core, entry)).await {
                Ok(listing) => {
                    routers::apply_listing(&core, &listing, began).await;
                    read.routers = true;
                }
                Err(error) => self.record_failure("routers", &error),
            }
        }
        let wanted_from = core.state().reads.lists_from.take();
        if let Some(address) = wanted_from.filter(|_| !is_up) {
            self.read_from_router(address).await;
        }
        read
    }

    /// Updates the lists that differ from those of another router: from that router if it is known
    /// and answers, else from the store.
    async fn read_outdated(&mut self, outdated: ListParts) {
        let announced_by = self.core.state().reads.lists_from.take();
        let was_fetched = match announced_by {
            Some(address) => self.read_from_router(address).await,
            None => false,
        };
        if !was_fetched {
            self.read(outdated).await;
        }
    }

    /// Fetches the lists of another router. Returns false if that fails, or if they include a newer
    /// list of routers on which this router is missing.
    async fn read_from_router(&mut self, address: SocketAddr) -> bool {
        let began = self.core.now();
        let fetched = copies::fetch_lists(address, self.held()).await;
        let took_ms = self.core.now().ms_since(began);
        let (lists, bytes) = match fetched {
            Ok(fetched) => fetched,
            Err(error) => {
                info!(self.core.log, "{}", event::COPIES_NOT_HAD; "router" => %address,
                    "of" => "lists", "error" => %error, "took_ms" => took_ms);
                return false;
            }
        };
        info!(self.core.log, "{}", event::COPIES_HAD; "router" => %address, "of" => "lists",
            "age_ms" => lists.servers_age_ms, "servers_changed" => lists.servers.len(),
            "bytes" => bytes, "took_ms" => took_ms);
        let era = lists.servers_era;
        if !lists.has_whole_servers() && era != self.core.state().server_list.era() {
            // What has changed since a position means nothing for a list of another era.
            return false;
        }
        let read_began = began.minus_ms(lists.servers_age_ms);
        let servers = self.core.state().reads.servers;
        if servers.is_superseded_by(era, read_began) {
            self.note_era(era, read_began);
            self.core.state().server_list.apply_copy(&lists);
            self.apply_server_list(
                &UnreadableEntries::default(),
                ListSource::OtherRouter,
                read_began,
            );
        }
        let read_began = began.minus_ms(lists.routers_age_ms);
        let Some(routers) = lists.routers else { return true };
        let (known, era) = (self.core.state().reads.routers, lists.routers_era);
        let is_newer = known.is_superseded_by(era, read_began);
        !is_newer || routers::apply_copy(&self.core, &routers, era, read_began)
    }

    /// Notes the era of a list that was read. A copy that the store was restored from may lack
    /// servers that write their entries again within moments.
    fn note_era(&mut self, era: u64, began: MonoTime) {
        let had_other_era = {
            let state = self.core.state();
            state.has_fleet && era != state.server_list.era()
        };
        if had_other_era {
            self.keep_missing_until = began.plus_ms(LAPSED_ENTRY_GRACE_MS);
        }
    }

    /// The position and the mark of this router's own lists, which the other router need not send
    /// again.
    fn held(&self) -> HeldRevisions {
        let state = self.core.state();
        HeldRevisions {
            servers: state.server_list.as_of().map(StorePosition::revision_in_era),
            servers_era: state.server_list.era(),
            routers: state.reads.routers.confirmed().map(|_| state.reads.routers.mark()),
        }
    }

    /// Records whether the store has answered, and wakes the task that waits for its return.
    fn record_availability(&self, is_up: bool) {
        let now = self.core.now();
        let mut state = self.core.state();
        if std::mem::replace(&mut state.reads.servers_up, is_up) == is_up {
            return;
        }
        let age_ms = state.contact.age_ms(now);
        drop(state);
        if is_up {
            info!(self.core.log, "{}", event::STORE_REGAINED);
            self.core.wake_configuration_reader.notify_one();
        } else {
            warn!(self.core.log, "{}", event::STORE_LOST; "contact_age_ms" => age_ms);
        }
    }

    fn record_failure(&self, call: &'static str, error: &StoreError) {
        if self.core.state().reads.servers_up {
            log_store_failure(&self.core, call, error);
        } else {
            count(&self.core.metrics.store_failures, call);
        }
    }

    /// Reads the changes of the servers since the last read, or all servers if the changes are not
    /// available.
    async fn read_servers(&self) -> Result<ServersRead, StoreError> {
        let store = &self.core.store;
        let as_of = self.core.state().server_list.as_of();
        let mut unreadable = UnreadableEntries::default();
        if let Some(as_of) = as_of {
            let keep = |entry: &EncodedObject<'_>| unreadable.decode(entry);
            match store.watch(Kind::BackendServers, as_of, 0, keep).await {
                Err(StoreError::HistoryGone) => {}
                read => {
                    let mut changes = read?;
                    let nameless = std::mem::take(&mut changes.unreadable);
                    let entries = ServerEntries::Changed(changes);
                    return Ok(ServersRead { entries, unreadable, nameless });
                }
            }
        }
        let mut list = self.core.state().server_list.emptied();
        let mut unreadable = UnreadableEntries::default();
        let listing = store.list(Kind::BackendServers, |entry| {
            unreadable.decode(entry).into_iter().for_each(|server| list.set(server));
            None::<()>
        });
        let listing = listing.await?;
        list.read_up_to(listing.position);
        let entries = ServerEntries::Listed(list);
        Ok(ServersRead { entries, unreadable, nameless: listing.unreadable })
    }

    fn apply_servers_read(&mut self, read: Result<ServersRead, StoreError>, began: MonoTime) {
        let ServersRead { entries, unreadable, nameless } = match read {
            Ok(read) => read,
            Err(error) => return self.record_failure("servers", &error),
        };
        for error in &nameless {
            log_unreadable(&self.core, "server", error);
        }
        let outage_ms = 2 * self.core.settings.store.poll_ms + UNCONFIRMED_GRACE_MS;
        let confirmed = self.core.state().reads.servers.confirmed();
        if confirmed.is_some_and(|confirmed| began.ms_since(confirmed) > outage_ms) {
            self.keep_missing_until = began.plus_ms(LAPSED_ENTRY_GRACE_MS);
        }
        match entries {
            ServerEntries::Changed(changes) => {
                let has_changed = !changes.changes.is_empty();
                let mut state = self.core.state();
                state.server_list.apply(changes.changes, changes.position);
                if !nameless.is_empty() {
                    // It is not known which servers these change.
                    state.server_list.require_listing();
                }
                if !has_changed && confirmed.is_some() {
                    return state.confirm_server_list(began);
                }
            }
            ServerEntries::Listed(list) => {
                self.note_era(list.era(), began);
                self.core.state().replace_server_list(list);
            }
        }
        self.apply_server_list(&unreadable, ListSource::Store, began);
    }

    /// Applies the list to the fleet, and logs what has changed.
    fn apply_server_list(
        &self,
        unreadable: &UnreadableEntries,
        source: ListSource,
        began: MonoTime,
    ) {
        count_unreadable(&self.core, unreadable);
        let keeps_missing = began < self.keep_missing_until;
        let now = self.core.now();
        let mut state = self.core.state();
        let changes = state.update_fleet(keeps_missing, began, now);
        if keeps_missing {
            // The missing servers have to be checked again, so no other router may confirm this
            // list.
            state.reads.servers.invalidate();
        } else {
            state.confirm_server_list(began);
        }
        crashes::count_ended(&self.core, &mut state);
        drop(state);
        let is_drain = |change: &FleetChange| matches!(change, FleetChange::Draining(_));
        if source == ListSource::Store && changes.iter().any(is_drain) {
            // The others get the news in a record, before they have the list.
            self.core.wake_publisher.notify_one();
        }
        log_fleet_changes(&self.core, changes);
    }
}

/// Logs what has changed on the list.
pub(super) fn log_fleet_changes(core: &Core, changes: Vec<FleetChange>) {
    for change in changes {
        match change {
            FleetChange::Appeared { id, software, cold_ms } => {
                info!(core.log, "{}", event::SERVER_APPEARED; "server" => &*id,
                    "software" => &*software, "cold_ms" => cold_ms);
            }
            FleetChange::Draining(id) => {
                info!(core.log, "{}", event::SERVER_DRAINS; "server" => &*id, "source" => "list");
            }
            FleetChange::Gone(id) => {
                info!(core.log, "{}", event::SERVER_GONE; "server" => &*id);
            }
            FleetChange::Restarted(id) => {
                info!(core.log, "{}", event::SERVER_RESTARTED; "server" => &*id);
            }
        }
    }
}

/// Counts and logs the entries that could not be decoded.
fn count_unreadable(core: &Core, unreadable: &UnreadableEntries) {
    core.metrics.unreadable_servers.inc_by(unreadable.count);
    for Unreadable { name, error } in &unreadable.reported {
        log_unreadable(core, name, error);
    }
}
