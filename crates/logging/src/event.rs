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
    STOPPED, "stopped", "A process has ended", "cause, requests_cut, open_requests, connections, requests_not_logged, at_ms";
    DRAINING, "draining", "A process was told to stop and drains", "cause, grace_ms, open_requests";
    PORT_CLOSED, "port closed", "A process that drains accepts no connections any more", "open_requests, connections, at_ms";
    REQUEST_ENDED, "request ended", "A request has ended", "request, outcome, cause, status, retry_after_ms, route, team, server, version, expected_ms, reading_tokens, fetches, generation, contact_age_ms, first_event_ms, took_ms, late, quota_level, quota_cost, steps";
    SERVER_CHOSEN, "server chosen", "A backend server was chosen for a send", "request, server, software, candidates, near, newest, version, expected_ms, cost_ms, report_age_ms, list_age_ms";
    NO_CONNECTION, "no connection", "No connection to a backend server could be opened; the request has not run there", "request, server, error, avoid_ms";
    SERVER_REFUSED, "server refused", "A backend server refused a request without running it", "request, server, status";
    SERVER_FAILED, "server failed", "A backend server closed the connection early, or its answer was invalid", "request, server, cause, may_repeat";
    CONNECTION_BROKE, "connection broke", "A connection to a backend server broke after a request was sent and before an answer; idle_ms: how long it had been idle, null for a new one; after_ms: the time since the send", "server, request, idle_ms, after_ms, error";
    IDLE_CONNECTION_DROPPED, "idle connection dropped", "A backend server had dropped a connection while it was idle; outcome: found by a check, or a request had met it, which was sent again or is lost", "server, idle_ms, outcome, request";
    BUDGET_SPENT, "no repeat: budget spent", "A retry was skipped because the retry budget is used up", "request, slack";
    STREAM_TAKEN_UP, "stream taken up", "A caller takes up a stream that has broken off; resumes: the request that brought its first event", "request, resumes, after_event";
    STREAM_RESUMES, "stream resumes", "A stream resumes at another engine", "request, after_event";
    RUN_MOVES, "run moves", "The move of a run to another engine begins", "request, server, to";
    RUN_STAYS, "run stays", "A run should move to another engine, but can't now", "request, server, cause";
    RUN_GOES_ON, "run goes on", "A stopped run continues from a copy of its memory", "request, server";
    RUN_COPIED, "run copied", "The calls that copy a run's memory have ended", "request, server, to, outcome";
    STOPPED_RUN_LEFT, "stopped run not continued", "No engine continued a run that this router had stopped to move it; resumes: whether the stream may be resumed by a new run, and if not, cause says why", "request, server, to, refused, resumes, cause";
    RUN_NOT_COPIED, "run not copied", "A call to copy a run's memory failed or got no answer", "request, server, to, stops, error";
    COPY_NOT_FREED, "copy not freed", "An unused copy of a run's memory could not be released; it expires", "request, server, error";
    CONFIGURATION_ADOPTED, "configuration adopted", "A configuration has taken effect; behind_ms: since this router first heard that it is not the newest one", "generation, before, read_age_ms, behind_ms, routes, services, teams";
    CONFIGURATION_BEHIND, "configuration behind", "Another router has a newer configuration", "generation, announced, router, contact_age_ms";
    CONFIGURATION_LEFT_OUT, "older configuration left out", "A configuration that was read is older than the one in force, which stays, but is not confirmed; position: era and revision of the store", "generation, found, position";
    READINESS_CHANGED, "readiness changed", "The answer to the load balancer's readiness check has changed", "ready, cause, contact_age_ms";
    IN_TOUCH, "in touch", "The configuration was confirmed, so keys are accepted again", "contact_age_ms";
    OUT_OF_TOUCH, "out of touch", "The configuration was not confirmed for too long, so keys are not accepted", "contact_age_ms";
    SERVER_APPEARED, "server appeared", "A backend server is new on the list; software: its version; cold_ms: how much longer it stays slow after its start", "server, software, cold_ms";
    SERVER_DRAINS, "server drains", "A backend server drains; it gets no new requests", "server, source";
    SERVER_RESTS, "server rests", "A backend server asked this router for a pause", "server, for_ms";
    SERVER_LIMITED, "server limited", "A backend server limits the requests per second of all routers together", "server, limit_per_s, source";
    SERVER_UNLIMITED, "server unlimited", "A backend server no longer limits requests", "server, source";
    SERVER_LIMIT_LEFT_OUT, "server limit left out", "A backend server named a limit that can't be decoded; what was known before stays", "server, error";
    SERVER_CRASHED, "server crashed", "A backend server ended in the middle of an answer and accepts no connections", "server, request";
    RUN_BROKE_OFF, "run broke off", "A backend server broke off a run; stage: how far the run had come; server_state: what a look at the server found", "request, server, stage, server_state";
    CRASH_COUNTED, "crash counted", "A crash counts against a part of a prompt, or against a whole request (of), whose run had not survived; crashes: those since such a run survived; hosts: where they were", "part, of, cause, crashes, hosts, server, request, team, route, source, age_ms";
    CRASH_CAUSE_CLEARED, "crash cause cleared", "A run with a part of a prompt, or of a whole request (of), survived, or an operator asked so; earlier crashes no longer count against it; crashes: how many those are", "part, of, cause, crashes, source";
    CRASH_CAUSE_REFUSED, "crash cause refused", "A request was not sent, as it or a part of its prompt has crashed servers", "part, cause, crashes, request";
    CRASH_CAUSE_TRIED, "crash cause tried", "A request that has crashed servers, or has a part of a prompt that did, is sent to one more, to see whether it still does", "part, cause, crashes, request";
    CRASH_VERDICTS_READ, "crash verdicts read", "A router that has started has read from the store what was refused before it", "verdicts";
    CRASH_VERDICTS_WRITTEN, "crash verdicts written", "What is refused, as it crashes servers, has changed, and is in the store for routers that start", "verdicts";
    SERVER_GONE, "server gone", "A backend server is no longer on the list", "server";
    SERVER_RESTARTED, "server restarted", "A backend server has restarted under its id", "server";
    SERVER_SUPERSEDED, "server superseded", "Another server answers at the address of an entry, which is ignored until its server is seen again", "server, answers";
    SERVER_AVOIDED, "server avoided", "A backend server is avoided after failures", "server, for_ms, cause";
    SERVER_TRUSTED, "server trusted again", "A backend server answered after failures", "server";
    STORE_LOST, "store lost", "The store does not answer this process", "contact_age_ms";
    STORE_REGAINED, "store regained", "The store answers this process again", "";
    STORE_ERA_CHANGED, "store era changed", "The store was restored from a copy, so what this process knows of it is read again", "era, before, generation, contact_age_ms";
    STORE_CALL_FAILED, "store call failed", "A call to the store failed", "call, error";
    REGISTERED, "registered", "This router is on the list of routers", "name";
    NOT_REGISTERED, "not registered yet", "This router is not on the list yet; it retries", "answer";
    ROUTER_APPEARED, "router appeared", "Another router is on the list", "router, address";
    ROUTER_GONE, "router gone", "Another router is no longer on the list", "router";
    ROUTER_REMOVED, "silent router removed", "A silent router was removed from the list", "router, answer";
    READS_FOR_OTHERS, "reads for others", "This router reads the store for the others", "";
    LEAVES_READING, "leaves reading to another", "Another router reads the store", "";
    COPIES_HAD, "copies had from a router", "The configuration or the lists were copied from another router", "router, of, age_ms, servers_changed, bytes, took_ms";
    COPIES_NOT_HAD, "copies not had", "Copies could not be fetched from another router", "router, of, error, took_ms";
    ENTRY_LEFT_OUT, "entry left out", "An entry of the store can't be decoded and is ignored", "entry, error";
    STREAMS_READ, "versions of streams read", "The versions of streams that routers have written to the store were read; remembered: those that this router answers for", "segments, remembered";
    WEIGHTS_NAMED, "weights named", "A new version of weights was named", "model, version, source, age_ms";
    WEIGHTS_NOT_FOLLOWED, "weights not followed", "A watch of the named versions of weights failed; it is retried", "error";
    ROLLOUT_STEP, "rollout: engine is to load", "The conducting router tells an engine to load", "server, model, version";
    ORDERS_TAKEN, "orders taken", "This router holds the lease on orders to engines without a sidecar", "epoch";
    ORDERS_GIVEN_UP, "orders given up", "This router may not order engines any more", "epoch";
    ROLLOUT_NOT_RECORDED, "rollout not recorded", "The time at which a version was named could not be stored; it is retried", "model, version, error";
    SERVICE_ROLLOUT, "service roll-out", "The release of a new version of a service's software has entered this phase; answers, bad: of the new version, as far as known", "service, software, phase, answers, bad";
    SERVICE_ROLLOUT_CALL_FAILED, "service roll-out: call failed", "Orders to move services to new versions could not be read, or a verdict not written; it is tried again", "error";
    RECORD_LEFT_OUT, "rollout record left out", "A record of a rollout can't be decoded", "model, error";
    CACHE_REACHED, "cache store reached", "The contents of a cache store were listed", "store, epoch, next, parts";
    VIEWS_NOT_HAD, "views of cache stores not had", "The contents of cache stores could not be fetched from the router that follows them; this one follows them for a while", "router, error";
    CACHE_TO_BE_LISTED, "cache store to be listed", "Events are missing or the cache store has restarted, so its contents are listed again", "store, epoch, epoch_before, has_gap";
    CACHE_LOST, "cache store lost", "A cache store does not answer; nothing is fetched from it", "store, error";
    DATAGRAM_LEFT_OUT, "datagram left out", "A datagram or record could not be decoded", "from, error";
    DATAGRAM_MISPLACED, "datagram of another role", "A datagram is meant for another kind of process", "from";
    DATAGRAM_NOT_SENT, "datagram not sent", "A datagram could not be sent", "to, error";
    RECEIVING_FAILED, "receiving failed", "Receiving datagrams failed", "error";
    CONNECTION_NOT_ACCEPTED, "connection not accepted", "A connection could not be accepted", "error";
    ROUTER_HEARD, "router heard", "A sidecar reports to another router as well", "address";
    ENGINE_LOST, "engine lost", "An engine does not answer the process that reads its reports", "server, error, failures";
    ENGINE_CHANGED, "engine changed", "The engine's weights or readiness have changed", "state";
    ORDER_GIVEN, "order given", "An engine took an order", "server, model, version, after_orders, answer";
    ORDER_REFUSED, "order refused", "An engine refused an order", "server, model, version, after_orders, answer";
    ORDER_UNANSWERED, "order without an answer", "An order got no answer; the next report shows whether it is carried out", "server, model, version, after_orders, error";
    REPORT_NOT_SENT, "report not sent", "A sidecar's report could not be sent", "to, error";
    SETTINGS_RELOADED, "settings reloaded", "A changed settings file has taken effect", "";
    SETTINGS_REFUSED, "settings refused", "The settings file is invalid; the old settings stay in force", "error";
    CALLERS_PORT_CLOSED, "port for callers closed", "OpenAI interface: a router that drains accepts no more connections", "running, open";
    REQUEST_OPEN, "request open at the end", "OpenAI interface: a request was open when the drain of a router ended", "request, phase, team, route, pieces, age_ms";
    ANSWER_UNFINISHED, "answer unfinished", "OpenAI interface: a request ended without a complete answer", "request, team, cause, outcome, route, agent, last_failure, attempts, lines, leaving_ms";
    ATTEMPT_OPEN, "attempt open at the end", "OpenAI interface: an attempt was open when the drain of an agent ended", "request, attempt, team, phase, lines";
    LINES_LEFT_OUT, "lines left out", "Lines over the budget of an event were dropped", "of, count";
}
