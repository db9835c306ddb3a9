//! Hellos to agents, and the period of the agents' reports that they set.

use fes_protocol::MonoTime;

use super::evacuation::target_hint;
use crate::AgentProcess;
use crate::AgentTable;
use crate::EntryAction;
use crate::EntryCore;
use crate::FleetView;
use crate::Hello;
use crate::Message;
use crate::TargetRecord;

/// Minimum period of an agent's reports.
const MIN_REPORT_PERIOD_MS: u64 = 100;
/// Increase of the report period per agent, which bounds the rate of reports that an entry
/// receives.
const REPORT_MS_PER_AGENT: u64 = 4;
/// Minimum period of hellos to an agent. A longer report period is used for hellos as well.
const MIN_HELLO_PERIOD_MS: u64 = 200;
/// Minimum period of hellos to an agent whose first report is awaited, as when all processes are
/// restarted. An agent reports only once it gets a hello.
const MIN_AWAITED_HELLO_PERIOD_MS: u64 = 40;
/// Limit of such hellos, which a small entry can send beside the traffic.
const MAX_AWAITED_HELLOS_PER_S: u64 = 4_000;
/// Period of hellos to an agent that is being restarted as planned. Packets are held until it
/// reports, and only few agents are restarted at the same time.
const RESTART_HELLO_PERIOD_MS: u64 = 20;
/// Time for which an agent gets hellos at these shorter periods, from its latest report or from the
/// listing of its target. Most agents report by then, and the others cost an entry too much.
const MAX_FREQUENT_HELLOS_MS: u64 = 2_500;

impl EntryCore {
    /// Returns the period of the agents' reports, in milliseconds.
    #[must_use]
    pub fn report_period_ms(&self) -> u64 {
        let agents = u64::try_from(self.agents.len()).unwrap_or(u64::MAX);
        (agents.saturating_mul(REPORT_MS_PER_AGENT)).max(MIN_REPORT_PERIOD_MS)
    }

    pub(super) fn hello_period_ms(&self) -> u64 {
        self.report_period_ms().max(MIN_HELLO_PERIOD_MS)
    }

    /// Sends a hello to each agent that is due for one.
    pub(super) fn send_hellos(&mut self, now: MonoTime, out: &mut Vec<EntryAction>) {
        let hello_period_ms = self.hello_period_ms();
        let targets = u64::try_from(self.view.newest_targets().count()).unwrap_or(u64::MAX);
        let awaited_period_ms = targets.saturating_mul(1_000) / MAX_AWAITED_HELLOS_PER_S;
        let awaited_period_ms = awaited_period_ms.max(MIN_AWAITED_HELLO_PERIOD_MS);
        let report_period_ms = u32::try_from(self.report_period_ms()).unwrap_or(u32::MAX);
        for record in self.view.newest_targets() {
            let next_at = self.next_hello_at.entry(record.vm).or_default();
            if now < *next_at {
                continue;
            }
            let period_ms = match reporting(now, &self.view, &self.agents, record) {
                Reporting::Restarting => RESTART_HELLO_PERIOD_MS,
                Reporting::Awaited => awaited_period_ms,
                Reporting::Usual => hello_period_ms,
            };
            *next_at = now.plus_ms(period_ms);
            let hello = Hello {
                incarnation: self.incarnation,
                report_period_ms,
                target: Some(target_hint(&self.view, record)),
                warm_up: self.warm_up.hint(now, &self.view, record),
            };
            let message = Message::Hello(hello);
            out.push(EntryAction::Send {
                vm: record.vm,
                message,
            });
        }
    }
}

/// What an entry knows about the reports of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reporting {
    /// The agent reports, or nothing indicates that it is about to.
    Usual,
    /// This entry hasn't got a report from the agent yet.
    Awaited,
    /// The agent ended as planned and is being restarted.
    Restarting,
}

fn reporting(
    now: MonoTime,
    view: &FleetView,
    agents: &AgentTable,
    record: &TargetRecord,
) -> Reporting {
    match agents.get(record.vm) {
        Some(agent)
            if agent.process() == AgentProcess::Restarting
                && agent.age_ms(now) < MAX_FREQUENT_HELLOS_MS =>
        {
            Reporting::Restarting
        }
        None if view.listed_for_ms(now, &record.id) < MAX_FREQUENT_HELLOS_MS => Reporting::Awaited,
        _ => Reporting::Usual,
    }
}
