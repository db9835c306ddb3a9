//! Changes of the platform's list during a simulation, and faults of targets and agents.

use fes_passthrough::Evacuation;
use fes_passthrough::ListChange;
use fes_passthrough::TargetRecord;
use fes_passthrough::TargetState;
use fes_protocol::DataCentreName;
use fes_protocol::UpstreamName;

use super::simulation::Simulation;

/// Upper limit of the time that a stopping agent takes.
const MAX_STOP_MS: u64 = 1_500;

impl Simulation {
    /// Reports a number of slots to agents that differs from their target's real one.
    pub fn override_reported_slots(&mut self, slots: u32) {
        self.reported_slots = Some(slots);
        for index in 0..self.records.len() {
            self.change_target(index, |record| record.slots = slots);
        }
    }

    /// Moves entries and targets to these data centres in turn, and restarts the entries.
    pub fn spread_over(&mut self, data_centres: &[&str]) {
        let name = |index: usize| DataCentreName::from(data_centres[index % data_centres.len()]);
        for (index, record) in self.records.iter_mut().enumerate() {
            record.data_centre = name(index);
        }
        for index in 0..self.entries.len() {
            self.entry_data_centres[index] = name(index);
            self.start_entry(index);
        }
    }

    /// Sets the additional delay between two data centres, in each direction.
    pub fn set_link_delay(&mut self, one: &str, other: &str, delay_ms: u64) {
        let (one, other) = (DataCentreName::from(one), DataCentreName::from(other));
        let there = (one.clone(), other.clone());
        self.link_delays_ms.insert(there, delay_ms);
        self.link_delays_ms.insert((other, one), delay_ms);
    }

    /// Changes a target's record at the platform and applies the change to all entries.
    pub fn change_target(&mut self, index: usize, change: impl FnOnce(&mut TargetRecord)) {
        self.revision += 1;
        change(&mut self.records[index]);
        self.records[index].revision = self.revision;
        let record = self.records[index].clone();
        let (now, revision) = (self.now(), self.revision);
        for entry in 0..self.entries.len() {
            let mut out = Vec::new();
            if let Some(core) = &mut self.entries[entry] {
                core.on_change(now, ListChange::Target(record.clone()), &mut out);
                core.view_mut().confirm(now, revision);
            }
            self.perform_entry(entry, out, None);
        }
    }

    /// Lists a target again that was removed. Only the entry `reader` learns of it from the platform.
    pub fn relist_target(&mut self, index: usize, reader: usize) {
        self.revision += 1;
        self.records[index].revision = self.revision;
        self.records[index].created_revision = self.revision;
        let change = ListChange::Target(self.records[index].clone());
        let (now, revision) = (self.now(), self.revision);
        let mut out = Vec::new();
        if let Some(core) = &mut self.entries[reader] {
            core.on_change(now, change, &mut out);
            core.view_mut().confirm(now, revision);
        }
        self.perform_entry(reader, out, None);
    }

    /// Writes or removes the request to evacuate a data centre. Only the entries in `readers` learn
    /// of it from the platform.
    pub fn evacuate(&mut self, data_centre: &str, is_in_force: bool, readers: &[usize]) {
        self.revision += 1;
        let evacuation = Evacuation {
            data_centre: DataCentreName::from(data_centre),
            revision: self.revision,
            is_in_force,
        };
        self.evacuations
            .retain(|other| other.data_centre != evacuation.data_centre);
        self.evacuations
            .extend(is_in_force.then(|| evacuation.clone()));
        let (now, revision) = (self.now(), self.revision);
        for entry in readers.iter().copied() {
            let mut out = Vec::new();
            if let Some(core) = &mut self.entries[entry] {
                let change = ListChange::Evacuation(evacuation.clone());
                core.on_change(now, change, &mut out);
                core.view_mut().confirm(now, revision);
            }
            self.perform_entry(entry, out, None);
        }
    }

    /// Ends all evacuations without a change that entries could watch, as when the platform has
    /// lost its history.
    pub fn lose_evacuations(&mut self) {
        self.revision += 1;
        self.evacuations.clear();
    }

    /// Removes a target's record from the platform's list.
    pub fn unlist_target(&mut self, index: usize) {
        self.revision += 1;
        let id = self.records[index].id.clone();
        let (now, revision) = (self.now(), self.revision);
        for entry in 0..self.entries.len() {
            let mut out = Vec::new();
            let change = ListChange::NoTarget {
                id: id.clone(),
                revision,
            };
            if let Some(core) = &mut self.entries[entry] {
                core.on_change(now, change, &mut out);
                core.view_mut().confirm(now, revision);
            }
            self.perform_entry(entry, out, None);
        }
    }

    /// Lists the record of a target's previous instance in addition to that of the current one.
    pub fn list_previous_instance(&mut self, index: usize) {
        let mut previous = self.records[index].clone();
        previous.id = UpstreamName::from(format!("former-{index}"));
        previous.started_at_ms -= 1;
        previous.state = TargetState::Ready;
        let now = self.now();
        for entry in 0..self.entries.len() {
            let mut out = Vec::new();
            if let Some(core) = &mut self.entries[entry] {
                core.on_change(now, ListChange::Target(previous.clone()), &mut out);
            }
            self.perform_entry(entry, out, None);
        }
    }

    pub fn crash_target(&mut self, index: usize) {
        self.targets[index].crash_and_restart();
        let started_at_ms = self.targets[index].started_at_ms;
        self.change_target(index, |record| record.started_at_ms = started_at_ms);
    }

    /// Tells an agent to stop, as a planned restart or the removal of its VM does.
    pub fn begin_stop(&mut self, index: usize) {
        let now = self.now();
        let mut out = Vec::new();
        if let Some(agent) = &mut self.agents[index] {
            agent.begin_stop(now, now.plus_ms(MAX_STOP_MS), &mut out);
        }
        self.perform_agent(index, out, None);
    }

    /// Continues the stop of an agent. Returns whether its process may exit.
    pub fn advance_stop(&mut self, index: usize) -> bool {
        let now = self.now();
        let mut out = Vec::new();
        let agent = self.agents[index].as_mut();
        let may_exit = agent.is_none_or(|agent| agent.advance_stop(now, &mut out));
        self.perform_agent(index, out, None);
        may_exit
    }

    /// Lets an agent find out that its target has ended.
    pub fn record_target_ended(&mut self, index: usize) {
        if let Some(agent) = &mut self.agents[index] {
            agent.record_target_ended();
        }
    }

    /// Ends a target and its agent as planned: the agent is told to stop once the target has ended,
    /// finds that out and exits.
    pub fn end_target(&mut self, index: usize) {
        self.targets[index].is_running = false;
        let now = self.now();
        let mut out = Vec::new();
        if let Some(agent) = &mut self.agents[index] {
            agent.begin_stop(now, now.plus_ms(MAX_STOP_MS), &mut out);
            agent.record_target_ended();
            agent.advance_stop(now, &mut out);
        }
        self.perform_agent(index, out, None);
        self.agents[index] = None;
    }

    /// Ends a target and its agent, which announces a restart but doesn't return.
    pub fn stop_agent_for_good(&mut self, index: usize) {
        self.targets[index].is_running = false;
        let now = self.now();
        let mut out = Vec::new();
        if let Some(agent) = &mut self.agents[index] {
            agent.begin_stop(now, now, &mut out);
            agent.advance_stop(now, &mut out);
        }
        self.perform_agent(index, out, None);
        self.agents[index] = None;
    }
}
