//! Observes which runs survive and which end with their backend server, and refuses requests that
//! would probably crash one more.

mod broken_runs;
mod decision;
mod observation;
mod possible_causes;
mod verdict_record;

pub(crate) use self::{
    broken_runs::{BrokenRuns, RunStage, RunningServer},
    decision::{clear, crashed_hosts, is_suspected, note_news, on_other_hosts, verdict},
    observation::{count_ended, parts_survived, request_survived, run_broke_off, server_refused},
    possible_causes::{PossibleCause, PossibleCauses},
    verdict_record::keep_verdicts,
};
