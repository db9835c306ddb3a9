//! Timeline of a recovery.

use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use jiff::Timestamp;

use crate::log_line::LogLine;
use crate::timeline::Distribution;
use crate::timeline::Phase;
use crate::timeline::PhaseTimes;
use crate::timeline::Role;
use crate::timeline::distribution::nearest_rank;
use crate::timeline::log_record::LogRecord;
use crate::timeline::observation::Observation;
use crate::timeline::observation::Observer;
use crate::timeline::phase::PHASES;
use crate::timeline::process_log::Logs;
use crate::timeline::process_log::ProcessLog;
use crate::timeline::restart::Restart;
use crate::timeline::restart::find_restart;

/// Share of the agents whose first answer ends the recovery.
const ANSWERED_PERCENT: usize = 95;

/// Timeline of a recovery.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timeline {
    /// First start of a process, in milliseconds since the Unix epoch.
    pub first_start_at_ms: i64,
    /// Times of all phases.
    pub phases: Vec<PhaseTimes>,
    /// Time since the first start by which 95 % of the agents in the logs had answered a request.
    pub answered_ms: Option<i64>,
    /// Number of agents that answered a request.
    pub answering_agents: usize,
    /// Number of agents in the logs.
    pub agents: usize,
    /// Names of processes whose logs have no start at or after the first one.
    pub not_started: Vec<String>,
    /// Names of files that hold lines of several processes without their names.
    pub mixed_files: Vec<String>,
    /// Number of searches in the recovery without an end.
    pub unfinished_searches: usize,
    /// Number of openings in the recovery that the same entry didn't log as accepted.
    pub unfinished_openings: usize,
    /// Number of lines that the processes left out because of the limit per kind of line.
    pub suppressed_lines: u64,
    /// Number of lines that the processes left out because their output stalled.
    pub left_out_lines: u64,
    /// Number of lines that were skipped because they have no time or no level.
    pub unreadable_lines: usize,
}

/// Returns the timeline of the restart that begins with the first start at or after `from`, or of
/// the last restart of at least half of the processes.
///
/// # Errors
///
/// Returns [`ResultCode::LogEmpty`] if no line is readable, or [`ResultCode::LogWithoutRestart`] if
/// the lines contain no such restart.
pub fn recovery_timeline(lines: &[LogLine<'_>], from: Option<Timestamp>) -> Result<Timeline> {
    let logs = Logs::decode(lines);
    if logs.processes.is_empty() {
        return Err(Error::coded(
            ResultCode::LogEmpty,
            format!("{} lines were skipped", logs.unreadable_lines),
        ));
    }
    let Some(restart) = find_restart(&logs.processes, from.map(Timestamp::as_millisecond)) else {
        return Err(Error::coded(
            ResultCode::LogWithoutRestart,
            format!("the logs are of {} processes", logs.processes.len()),
        ));
    };
    Ok(timeline_of(&logs, restart))
}

fn timeline_of(logs: &Logs<'_>, restart: Restart) -> Timeline {
    let observers: Vec<Observer<'_>> = logs
        .processes
        .iter()
        .filter_map(|process| observe(process, restart))
        .collect();
    let observations: Vec<Observation> = observers
        .iter()
        .flat_map(|observer| observer.observations.iter().copied())
        .collect();
    let is_agent = |process: &&ProcessLog<'_>| process.role() == Some(Role::Agent);
    let agents = logs.processes.iter().filter(is_agent).count();
    let first_answers = times_of(&observations, Phase::FirstAnswer, Role::Agent, None);
    let answering_agents = first_answers.len();
    let answered_ms = time_of_share(first_answers, agents);
    let sum = |count: &dyn Fn(&Observer<'_>) -> usize| observers.iter().map(count).sum();
    Timeline {
        first_start_at_ms: restart.first_start_at_ms,
        phases: phase_times(&observations, answered_ms),
        answered_ms,
        answering_agents,
        agents,
        not_started: names(logs, |process| after_start(process, restart).is_empty()),
        mixed_files: names(logs, ProcessLog::has_several_vms),
        unfinished_searches: sum(&|one| one.unfinished_searches(answered_ms)),
        unfinished_openings: sum(&|one| one.unfinished_openings(answered_ms)),
        suppressed_lines: observers.iter().map(|one| one.suppressed_lines).sum(),
        left_out_lines: logs.left_out_lines,
        unreadable_lines: logs.unreadable_lines,
    }
}

fn names<'a>(logs: &Logs<'a>, is_match: impl Fn(&ProcessLog<'a>) -> bool) -> Vec<String> {
    let matching = logs.processes.iter().filter(|process| is_match(process));
    let mut names: Vec<String> = matching.map(|process| process.name.to_owned()).collect();
    names.sort_unstable();
    names
}

fn observe<'a>(process: &ProcessLog<'a>, restart: Restart) -> Option<Observer<'a>> {
    let records = after_start(process, restart);
    let mut observer = Observer::new(process.role()?, restart.first_start_at_ms);
    records.iter().for_each(|record| observer.on_record(record));
    (!records.is_empty()).then_some(observer)
}

/// Returns the records of a process from its own start in this restart up to its start in the next
/// one. Other limits would depend on how much the clocks of processes differ.
fn after_start<'p, 'a>(process: &'p ProcessLog<'a>, restart: Restart) -> &'p [LogRecord<'a>] {
    let start_from = |at_ms: i64| {
        let mut records = process.records.iter();
        records.position(|record| record.is_start() && record.at_ms >= at_ms)
    };
    let count = process.records.len();
    let end = restart
        .next_restart_at_ms
        .and_then(start_from)
        .unwrap_or(count);
    let start = start_from(restart.first_start_at_ms).unwrap_or(end);
    &process.records[start.min(end)..end]
}

fn phase_times(observations: &[Observation], answered_ms: Option<i64>) -> Vec<PhaseTimes> {
    let times = |(phase, role): (Phase, Role)| {
        let end_ms = answered_ms.filter(|_| phase.ends_with_recovery());
        PhaseTimes {
            phase,
            role,
            distribution: Distribution::of(times_of(observations, phase, role, end_ms)),
        }
    };
    PHASES.into_iter().map(times).collect()
}

fn times_of(
    observations: &[Observation],
    phase: Phase,
    role: Role,
    end_ms: Option<i64>,
) -> Vec<i64> {
    observations
        .iter()
        .filter(|one| one.phase == phase && one.role == role)
        .filter(|one| end_ms.is_none_or(|end_ms| one.ended_ms <= end_ms))
        .map(|one| one.value_ms)
        .collect()
}

/// Returns the time by which the required share of the agents had answered, if it was reached.
fn time_of_share(mut first_answers_ms: Vec<i64>, agents: usize) -> Option<i64> {
    first_answers_ms.sort_unstable();
    let rank = nearest_rank(agents, ANSWERED_PERCENT);
    first_answers_ms.get(rank).copied()
}
