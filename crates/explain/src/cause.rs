//! Explains in one sentence why a request ended as it did.

use samphirespread_logging::event;

use crate::line::Line;

/// The lowest HTTP status that reports a failure of the server.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// Returns a sentence with the cause of a request's outcome. `lines` are the log lines of this
/// request, sorted by time.
pub(crate) fn sentence(lines: &[&Line], request: &str) -> String {
    let ends: Vec<&&Line> =
        lines.iter().filter(|line| line.event == event::REQUEST_ENDED).collect();
    let Some(end) = ends.last() else {
        return format!(
            "No end of {request} is in these logs: it reached none of these processes, its process \
             was killed, or it still runs."
        );
    };
    match end.text("outcome").as_str() {
        "served" if is_server_error(end) => failed_by_server(lines, end),
        "served" => served(end),
        "denied" => denied(end),
        "not_run" => not_run(lines, end),
        "unknown" => unknown(lines, end),
        "cut" => cut(lines, end),
        "caller_gone" => caller_gone(end),
        other => format!("{request} ended as {other}, which this version does not know."),
    }
}

fn served(end: &Line) -> String {
    let late = if end.text("late") == "true" { ", later than the route's target" } else { "" };
    format!(
        "Served by {} with status {}: first event after {} ms, all of it after {} ms{late}.",
        end.text("server"),
        end.text("status"),
        end.text("first_event_ms"),
        end.text("took_ms"),
    )
}

/// Returns whether the forwarded response reports a failure of the server itself.
fn is_server_error(end: &Line) -> bool {
    end.text("status").parse::<u16>().is_ok_and(|status| status >= MIN_SERVER_ERROR_STATUS)
}

fn failed_by_server(lines: &[&Line], end: &Line) -> String {
    let choices = lines.iter().filter(|line| line.event == event::SERVER_CHOSEN);
    let mut servers: Vec<String> = choices.map(|line| line.text("server")).collect();
    servers.dedup();
    let last = end.text("server");
    servers.retain(|server| *server != last);
    let before = match servers.as_slice() {
        [] => String::new(),
        others => format!(", after {} had been asked", others.join(" and ")),
    };
    format!(
        "{last} ran it and failed it with status {}, which was passed on unchanged{before}.",
        end.text("status")
    )
}

fn denied(end: &Line) -> String {
    let why = match end.text("cause").as_str() {
        "no route" => "no route of the configuration in force matches its host and path".to_owned(),
        "key" => "its key belongs to no team of the configuration in force".to_owned(),
        "body" => "its body was over the limit, or was not read to its end".to_owned(),
        other => format!("the request was wrong: {other}"),
    };
    format!("Refused for good with status {}: {why}.", end.text("status"))
}

fn not_run(lines: &[&Line], end: &Line) -> String {
    let why = match end.text("cause").as_str() {
        "starting" => "the router had no configuration yet".to_owned(),
        "out_of_touch" => {
            "the router had no word from the store for too long to trust keys".to_owned()
        }
        "outdated_configuration" => {
            "the router knew of a newer configuration and did not have it in time".to_owned()
        }
        "over_quota" => format!("team {} was over its quota", end.text("team")),
        "no_server" | "servers_refused" | "retry_budget" => {
            format!("no backend server took it ({})", failed_attempts(lines))
        }
        "server_limit" => {
            "the backend servers that would have taken it limit the requests of all routers, and \
             there was no room"
                .to_owned()
        }
        "connection_limit" => {
            "the backend servers that would have taken it had as many connections from the router \
             as they accept"
                .to_owned()
        }
        "stream_version_unknown" => {
            "it takes up a stream, and no router knew which version of the servers' software began \
             that"
                .to_owned()
        }
        "crash_cause" => {
            "it, or a part of its prompt, has crashed several backend servers in a row".to_owned()
        }
        "memory_limit" => {
            "its body did not fit in the router's memory beside what it held for others".to_owned()
        }
        "no_time_left" => "its time was over before a server could be asked".to_owned(),
        "draining" => "the router stopped, and the request could have lasted longer".to_owned(),
        other => other.to_owned(),
    };
    format!("Not run: {why}; told to come back in {} ms.", end.text("retry_after_ms"))
}

fn unknown(lines: &[&Line], end: &Line) -> String {
    let cause = last_failure(lines).unwrap_or_else(|| end.text("cause"));
    format!(
        "May have run on {}: {cause}; it could not be sent again, and the caller got {}.",
        end.text("server"),
        end.text("status"),
    )
}

fn cut(lines: &[&Line], end: &Line) -> String {
    let cause = end.text("cause");
    let stopped = lines.iter().rev().find(|line| line.event == event::STOPPED_RUN_LEFT);
    if let Some(stopped) = stopped.filter(|_| cause.starts_with("stopped run lost")) {
        return format!(
            "The router stopped its run on {} to move it to {}, no engine continued it (refused by: {}), \
             and the stream was cut ({cause}).",
            stopped.text("server"),
            stopped.text("to"),
            stopped.text("refused"),
        );
    }
    let cause = last_failure(lines).unwrap_or_else(|| end.text("cause"));
    format!("The stream from {} was cut: {cause} ({}).", end.text("server"), end.text("cause"))
}

fn caller_gone(end: &Line) -> String {
    let (took_ms, server) = (end.text("took_ms"), end.text("server"));
    if end.text("first_event_ms").is_empty() {
        return format!("The caller left after {took_ms} ms, while {server} had not answered.");
    }
    format!("The caller left after {took_ms} ms, while {server} was sending events.")
}

fn last_failure(lines: &[&Line]) -> Option<String> {
    let line = lines.iter().rev().find(|line| line.event == event::SERVER_FAILED)?;
    Some(format!("{} failed it ({})", line.text("server"), line.text("cause")))
}

/// Lists why each server that was tried did not take the request.
fn failed_attempts(lines: &[&Line]) -> String {
    let reasons: Vec<String> = lines
        .iter()
        .filter_map(|line| match line.event.as_str() {
            event::SERVER_REFUSED => {
                Some(format!("{} refused with {}", line.text("server"), line.text("status")))
            }
            event::NO_CONNECTION => {
                Some(format!("{} was not reached: {}", line.text("server"), line.text("error")))
            }
            event::BUDGET_SPENT => Some("the budget for repeats was spent".to_owned()),
            _ => None,
        })
        .collect();
    if reasons.is_empty() { "none was eligible".to_owned() } else { reasons.join("; ") }
}
