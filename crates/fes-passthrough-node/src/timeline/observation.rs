//! Collects the times of the phases from the records of a process.

use fes_protocol::FastSet;
use fes_protocol::RandomStateMap;

use crate::timeline::Phase;
use crate::timeline::Role;
use crate::timeline::log_record::LogRecord;

/// A time of a phase.
#[derive(Debug, Clone, Copy)]
pub(super) struct Observation {
    pub(super) phase: Phase,
    pub(super) role: Role,
    /// Time since the first start of the restart at which the observation ended.
    pub(super) ended_ms: i64,
    /// Value: the same time, or a duration.
    pub(super) value_ms: i64,
}

/// Times of the phases at a process.
#[derive(Debug)]
pub(super) struct Observer<'a> {
    role: Role,
    first_start_at_ms: i64,
    reached: FastSet<&'static str>,
    heard_agents: FastSet<&'a str>,
    placed_at_ms: RandomStateMap<&'a str, i64>,
    searched_at_ms: RandomStateMap<&'a str, i64>,
    pub(super) observations: Vec<Observation>,
    /// Lines that the process left out because of the limit per kind of line.
    pub(super) suppressed_lines: u64,
}

impl<'a> Observer<'a> {
    pub(super) fn new(role: Role, first_start_at_ms: i64) -> Self {
        Self {
            role,
            first_start_at_ms,
            reached: FastSet::default(),
            heard_agents: FastSet::default(),
            placed_at_ms: RandomStateMap::default(),
            searched_at_ms: RandomStateMap::default(),
            observations: Vec::new(),
            suppressed_lines: 0,
        }
    }

    /// Returns the number of openings up to `end_ms` without an acceptance.
    pub(super) fn unfinished_openings(&self, end_ms: Option<i64>) -> usize {
        self.count_until(&self.placed_at_ms, end_ms)
    }

    /// Returns the number of searches up to `end_ms` without an end.
    pub(super) fn unfinished_searches(&self, end_ms: Option<i64>) -> usize {
        self.count_until(&self.searched_at_ms, end_ms)
    }

    fn count_until(&self, begun_at_ms: &RandomStateMap<&str, i64>, end_ms: Option<i64>) -> usize {
        let end_at_ms = end_ms.map_or(i64::MAX, |end_ms| self.first_start_at_ms + end_ms);
        let times = begun_at_ms.values();
        times.filter(|at_ms| **at_ms <= end_at_ms).count()
    }

    pub(super) fn on_record(&mut self, record: &LogRecord<'a>) {
        if let Some(count) = record.field("suppressed") {
            self.suppressed_lines += count.parse().unwrap_or(0);
            return;
        }
        match record.field("event") {
            Some("start") => self.push_first(Phase::Start, record.at_ms),
            Some("list_read" | "routes_in_force") => {
                self.push_first(Phase::FirstView, record.at_ms);
            }
            Some("ready") => self.push_first(Phase::Ready, record.at_ms),
            _ => self.on_outcome(record),
        }
    }

    fn on_outcome(&mut self, record: &LogRecord<'a>) {
        let at_ms = record.at_ms;
        match record.field("outcome") {
            Some("agent_heard") => self.on_agent_heard(record),
            Some("search_started") => {
                let flow = record.field("flow").unwrap_or_default();
                self.searched_at_ms.insert(flow, at_ms);
            }
            Some("search_found" | "search_lost") => self.on_search_ended(record),
            Some("placed") => {
                let flow = record.field("flow").unwrap_or_default();
                self.placed_at_ms.insert(flow, at_ms);
            }
            Some("accepted") => self.on_accepted(record),
            Some("started") => self.push(Phase::RequestStarted, at_ms),
            Some("answered") => {
                self.push(Phase::RequestAnswered, at_ms);
                self.push_first(Phase::FirstAnswer, at_ms);
            }
            _ => {}
        }
    }

    fn on_agent_heard(&mut self, record: &LogRecord<'a>) {
        let vm = record.field("vm").unwrap_or_default();
        if self.heard_agents.insert(vm) {
            self.push(Phase::FirstReport, record.at_ms);
        }
    }

    fn on_search_ended(&mut self, record: &LogRecord<'a>) {
        let flow = record.field("flow").unwrap_or_default();
        if let Some(started_at_ms) = self.searched_at_ms.remove(flow) {
            self.push(Phase::SearchEnded, record.at_ms);
            self.push_duration(Phase::SearchDuration, started_at_ms, record.at_ms);
        }
    }

    /// Only a placement at the same process counts: agents log acceptances too, by other clocks.
    fn on_accepted(&mut self, record: &LogRecord<'a>) {
        let flow = record.field("flow").unwrap_or_default();
        if let Some(placed_at_ms) = self.placed_at_ms.remove(flow) {
            self.push(Phase::OpeningAccepted, record.at_ms);
            self.push_duration(Phase::OpeningDuration, placed_at_ms, record.at_ms);
        }
    }

    fn push_first(&mut self, phase: Phase, at_ms: i64) {
        if self.reached.insert(phase.name()) {
            self.push(phase, at_ms);
        }
    }

    fn push(&mut self, phase: Phase, at_ms: i64) {
        let ended_ms = at_ms - self.first_start_at_ms;
        self.push_value(phase, ended_ms, ended_ms);
    }

    fn push_duration(&mut self, phase: Phase, from_ms: i64, to_ms: i64) {
        // A negative duration means that the clock was set back.
        if to_ms >= from_ms {
            self.push_value(phase, to_ms - self.first_start_at_ms, to_ms - from_ms);
        }
    }

    fn push_value(&mut self, phase: Phase, ended_ms: i64, value_ms: i64) {
        self.observations.push(Observation {
            phase,
            role: self.role,
            ended_ms,
            value_ms,
        });
    }
}
