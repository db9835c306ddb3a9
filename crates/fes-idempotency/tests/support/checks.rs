//! Checks of a finished history. Each check returns the violations that it found.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use fes_protocol::MonoTime;
use fes_protocol::ResultCode;
use todc_utils::Specification;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::Action;
use todc_utils::linearizability::history::History;

use fes_testkit::at_most_once::AttemptOutcome;
use fes_testkit::at_most_once::FleetSimulation;

/// Key and body: the identity of a request.
type Identity = (String, String);

/// Runs all checks; the result is empty if the history is correct.
pub fn violations(simulation: &FleetSimulation) -> Vec<String> {
    let mut found = simulation.violations.clone();
    found.extend(at_most_once(simulation));
    found.extend(refused_never_runs(simulation));
    found.extend(response_matches_request(simulation));
    found.extend(every_attempt_ended(simulation));
    found.extend(linearizable(simulation));
    found
}

/// Each key runs at most once, with one body.
pub fn at_most_once(simulation: &FleetSimulation) -> Vec<String> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    simulation
        .runs
        .iter()
        .for_each(|run| *counts.entry(&run.key).or_default() += 1);
    let repeated = counts.into_iter().filter(|(_, count)| *count > 1);
    repeated
        .map(|(key, count)| format!("{} ran {count} times", simulation.alias(key)))
        .collect()
}

/// A request that is answered "not run" never runs.
pub fn refused_never_runs(simulation: &FleetSimulation) -> Vec<String> {
    let ran: BTreeSet<Identity> = simulation
        .runs
        .iter()
        .map(|run| (run.key.clone(), run.body.clone()))
        .collect();
    let mut found = Vec::new();
    for attempt in &simulation.attempts {
        for (_, outcome) in &attempt.outcomes {
            if let AttemptOutcome::Code(code, _) = outcome
                && code.is_not_run()
                && ran.contains(&(attempt.key.clone(), attempt.body.clone()))
            {
                let number = code.number();
                found.push(format!("{} was answered F{number}, but ran", attempt.name));
            }
        }
    }
    found
}

/// A response belongs to its request and is complete.
pub fn response_matches_request(simulation: &FleetSimulation) -> Vec<String> {
    let mut found = Vec::new();
    for attempt in &simulation.attempts {
        let expected = format!("done {} {}", attempt.key, attempt.body);
        for (_, outcome) in &attempt.outcomes {
            if let AttemptOutcome::Answered { body } = outcome
                && *body != expected
            {
                found.push(format!("{} got \"{body}\"", attempt.name));
            }
        }
    }
    found
}

/// Every attempt has an outcome: answered, not run, unknown, or connection lost.
pub fn every_attempt_ended(simulation: &FleetSimulation) -> Vec<String> {
    let open = simulation
        .attempts
        .iter()
        .filter(|attempt| attempt.outcomes.is_empty());
    open.map(|attempt| format!("{} never ended", attempt.name))
        .collect()
}

/// Operations of the linearizability model, which has one object per request.
#[derive(Debug, Clone, Copy)]
pub enum Operation {
    /// The upstream runs the request.
    Run,
    /// A client learns that the request ran.
    ObserveRun,
    /// A client learns that the request did not run.
    ObserveNotRun,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestState {
    Open,
    Ran,
    Refused,
}

/// Model of a request: it runs at most once, no client learns of its execution before it runs, and
/// a refusal is final. Unknown outcomes permit any state and are left out of the history.
pub struct AtMostOnce;

impl Specification for AtMostOnce {
    type State = RequestState;
    type Operation = Operation;

    fn init() -> RequestState {
        RequestState::Open
    }

    fn apply(operation: &Operation, state: &RequestState) -> (bool, RequestState) {
        match operation {
            Operation::Run => (*state == RequestState::Open, RequestState::Ran),
            Operation::ObserveRun => (*state == RequestState::Ran, RequestState::Ran),
            Operation::ObserveNotRun => (*state != RequestState::Ran, RequestState::Refused),
        }
    }
}

/// The history of each request is linearizable.
pub fn linearizable(simulation: &FleetSimulation) -> Vec<String> {
    let mut spans: BTreeMap<Identity, Vec<(MonoTime, MonoTime, Operation)>> = BTreeMap::new();
    for run in &simulation.runs {
        let identity = (run.key.clone(), run.body.clone());
        spans
            .entry(identity)
            .or_default()
            .push((run.at, run.at, Operation::Run));
    }
    for attempt in &simulation.attempts {
        let identity = (attempt.key.clone(), attempt.body.clone());
        for (at, outcome) in &attempt.outcomes {
            let operation = match outcome {
                AttemptOutcome::Answered { .. }
                | AttemptOutcome::Code(ResultCode::FinishedNotHeld, _) => Operation::ObserveRun,
                AttemptOutcome::Code(code, _) if code.is_not_run() => Operation::ObserveNotRun,
                AttemptOutcome::Code(..) | AttemptOutcome::ConnectionLost => continue,
            };
            spans
                .entry(identity.clone())
                .or_default()
                .push((attempt.sent_at, *at, operation));
        }
    }
    let wrong = spans
        .into_iter()
        .filter(|(_, spans)| !is_linearizable(spans));
    wrong
        .map(|((key, body), _)| format!("{} / {body} is not linearizable", simulation.alias(&key)))
        .collect()
}

fn is_linearizable(spans: &[(MonoTime, MonoTime, Operation)]) -> bool {
    let mut actions = Vec::new();
    for (process, (from, to, operation)) in spans.iter().enumerate() {
        actions.push((*from, 0, process, Action::Call(*operation)));
        actions.push((*to, 1, process, Action::Response(*operation)));
    }
    actions.sort_by_key(|(at, order, process, _)| (*at, *order, *process));
    let actions = actions
        .into_iter()
        .map(|(_, _, process, action)| (process, action))
        .collect();
    WGLChecker::<AtMostOnce>::is_linearizable(History::from_actions(actions))
}
