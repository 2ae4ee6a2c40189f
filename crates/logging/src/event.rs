//! Defines the events that daemons log.
//!
//! The message of each log line is the name of one of these events. docs/OPERATIONS.md lists them
//! with their fields; a test checks that the list there matches this table.

/// Describes an event that daemons log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventSpec {
    /// The message of the event's log lines.
    pub name: &'static str,
    /// What the event means.
    pub meaning: &'static str,
    /// The names of the fields in the event's log lines, separated by commas.
    pub fields: &'static str,
}

macro_rules! events {
    ($($constant:ident, $name:literal, $meaning:literal, $fields:literal;)*) => {
        $(
            #[doc = $meaning]
            pub const $constant: &str = $name;
        )*

        /// All events that daemons log.
        pub const ALL: &[EventSpec] =
            &[$(EventSpec { name: $name, meaning: $meaning, fields: $fields }),*];
    };
}

events! {
    STARTED, "started", "A process has started", "instance, incarnation";
    STOPPED, "stopped", "A process has ended", "cause, requests_cut";
    DRAINING, "draining", "A process was asked to leave and sends callers elsewhere", "cause, grace_ms";
    REQUEST_ENDED, "request ended", "A request has its outcome", "request, outcome, cause, status, retry_after_ms, route, team, server, version, expected_ms, reading_tokens, fetches, generation, contact_age_ms, first_event_ms, took_ms, late, quota_level, quota_cost, steps";
    SERVER_CHOSEN, "server chosen", "A backend server was chosen for a send", "request, server, candidates, near, newest, version, expected_ms, cost_ms, report_age_ms, list_age_ms";
    NO_CONNECTION, "no connection", "A backend server was not reached; the request has not run there", "request, server, error, avoid_ms";
    SERVER_REFUSED, "server refused", "A backend server said that the request has not run", "request, server, status";
    SERVER_FAILED, "server failed", "A backend server broke off, or its answer was of no use", "request, server, cause, may_repeat";
    BUDGET_SPENT, "no repeat: budget spent", "A repeat was left out since the budget for repeats is spent", "request, slack";
    STREAM_RESUMES, "stream resumes", "A stream goes on at another engine", "request, after_event";
    RUN_MOVES, "run moves", "A run is to be moved to another engine", "request, server, to";
    RUN_STAYS, "run stays", "A run is to be moved to another engine and can't be now", "request, server, cause";
    RUN_GOES_ON, "run goes on", "A run that was stopped goes on from its memory", "request, server";
    RUN_COPIED, "run copied", "The engine of a run that was to be moved answered its last call", "request, server, to, outcome";
    RUN_NOT_COPIED, "run not copied", "A call to copy a run's memory was not answered", "request, server, to, stops, error";
    COPY_NOT_FREED, "copy not freed", "A copy that nobody uses was not freed; it expires", "request, server, error";
    CONFIGURATION_ADOPTED, "configuration adopted", "A configuration is in force", "generation, before, read_age_ms, routes, services, teams";
    IN_TOUCH, "in touch", "Keys are trusted again: the configuration was confirmed", "contact_age_ms";
    OUT_OF_TOUCH, "out of touch", "Keys are not trusted: the configuration was not confirmed for too long", "contact_age_ms";
    SERVER_APPEARED, "server appeared", "A backend server is new on the list", "server";
    SERVER_DRAINS, "server drains", "A backend server leaves; it gets no new requests", "server, source";
    SERVER_RESTS, "server rests", "A backend server wants no requests from this router for a while", "server, for_ms";
    SERVER_LIMITED, "server limited", "A backend server takes no more requests a second from all routers together", "server, limit_per_s, source";
    SERVER_UNLIMITED, "server unlimited", "A backend server names no limit any more", "server, source";
    SERVER_LIMIT_LEFT_OUT, "server limit left out", "A backend server named a limit that can't be read; what was known before stays", "server, error";
    SERVER_GONE, "server gone", "A backend server is no longer on the list", "server";
    SERVER_RESTARTED, "server restarted", "A backend server runs anew under its id", "server";
    SERVER_SUPERSEDED, "server superseded", "Another server answers at the address of an entry, which is left out", "server, answers";
    SERVER_AVOIDED, "server avoided", "A backend server is avoided after failures", "server, for_ms, cause";
    SERVER_TRUSTED, "server trusted again", "A backend server answered after failures", "server";
    STORE_LOST, "store lost", "The store does not answer this process", "contact_age_ms";
    STORE_REGAINED, "store regained", "The store answers this process again", "";
    STORE_CALL_FAILED, "store call failed", "A call to the store failed", "call, error";
    REGISTERED, "registered", "This router is on the list of routers", "name";
    NOT_REGISTERED, "not registered yet", "This router is not on the list yet; it tries again", "answer";
    ROUTER_APPEARED, "router appeared", "Another router is on the list", "router, address";
    ROUTER_GONE, "router gone", "Another router is no longer on the list", "router";
    ROUTER_REMOVED, "silent router removed", "A router that was not heard was taken off the list", "router, answer";
    READS_FOR_OTHERS, "reads for others", "This router reads the store for those that hear it", "";
    LEAVES_READING, "leaves reading to another", "Another router reads the store", "";
    COPIES_HAD, "copies had from a router", "Configuration and list came from another router", "router, configuration_age_ms, servers_age_ms, servers_changed";
    COPIES_NOT_HAD, "copies not had", "Another router did not hand out its copies", "router, error";
    ENTRY_LEFT_OUT, "entry left out", "An entry of the store can't be read; the others hold", "entry, error";
    WEIGHTS_NAMED, "weights named", "A version of weights is known to be named", "model, version, source, age_ms";
    WEIGHTS_NOT_FOLLOWED, "weights not followed", "A call for the versions of weights failed; it is tried again", "error";
    ROLLOUT_STEP, "rollout: engine is to load", "The conducting router tells an engine to load", "server, model, version";
    ORDERS_TAKEN, "orders taken", "This router holds the lease on orders to engines without a sidecar", "epoch";
    ORDERS_GIVEN_UP, "orders given up", "This router may not order engines any more", "epoch";
    ROLLOUT_NOT_RECORDED, "rollout not recorded", "The time of a naming was not written; it is tried again", "model, version, error";
    RECORD_LEFT_OUT, "rollout record left out", "A record of a rollout can't be read", "model, error";
    CACHE_REACHED, "cache store reached", "What a cache store holds was listed", "store, epoch, next, parts";
    VIEWS_NOT_HAD, "views of cache stores not had", "The router that follows the cache stores did not hand out what it has; this one follows them itself for a while", "router, error";
    CACHE_TO_BE_LISTED, "cache store to be listed", "Events are missing, or the cache store has restarted", "store, epoch, epoch_before, has_gap";
    CACHE_LOST, "cache store lost", "A cache store does not answer; nothing is fetched from it", "store, error";
    DATAGRAM_LEFT_OUT, "datagram left out", "Bytes that are no message of ours", "from, error";
    DATAGRAM_MISPLACED, "datagram of another role", "A message that is not for this kind of process", "from";
    DATAGRAM_NOT_SENT, "datagram not sent", "A message could not be sent", "to, error";
    RECEIVING_FAILED, "receiving failed", "The socket for messages failed", "error";
    CONNECTION_NOT_ACCEPTED, "connection not accepted", "A connection could not be accepted", "error";
    ROUTER_HEARD, "router heard", "A sidecar has a new router to report to", "address";
    ENGINE_LOST, "engine lost", "An engine does not answer the process that reads its reports", "server, error, failures";
    ENGINE_CHANGED, "engine changed", "The engine's weights or readiness have changed", "state";
    ORDER_GIVEN, "order given", "An engine took an order", "server, model, version, after_orders, answer";
    ORDER_REFUSED, "order refused", "An engine refused an order", "server, model, version, after_orders, answer";
    ORDER_UNANSWERED, "order without an answer", "An order may or may not be carried out; the next report shows", "server, model, version, after_orders, error";
    REPORT_NOT_SENT, "report not sent", "A sidecar's report could not be sent", "to, error";
    SETTINGS_RELOADED, "settings reloaded", "The settings file has changed and is in force", "";
    SETTINGS_REFUSED, "settings refused", "The settings file has faults; the old settings stay in force", "error";
    LINES_LEFT_OUT, "lines left out", "Lines of one event were over its budget", "of, count";
}
