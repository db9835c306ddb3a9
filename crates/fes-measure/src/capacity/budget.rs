//! Resource use of each role at a given size, compared with its budget.

use fes_membership::heartbeat_period_ms;
use serde::Deserialize;
use serde::Serialize;

use super::DesignSize;
use super::Slope;

/// Each heartbeat is encoded by its sender and decoded by its receiver.
const SENDER_AND_RECEIVER: f64 = 2.0;

/// Heartbeats per second that an agent sends to each entry that observes it.
const ENTRY_HEARTBEATS_PER_S: f64 = 1.0;

/// Entries that observe each agent.
const ENTRY_OBSERVERS_PER_AGENT: f64 = 2.0;

/// Non-repeatable requests per target and second: about a quarter of the requests that the slots of
/// a target finish at 70 % load with the mean service time of the profiles.
const KEYS_PER_TARGET_PER_S: f64 = 20.0;

/// Validity period of an idempotency key, in seconds.
const KEY_VALIDITY_S: f64 = 600.0;

/// Part of the system that a budget line applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An entry.
    Entry,
    /// An agent.
    Agent,
    /// The fleet as a whole.
    Fleet,
}

/// Figures and bound of one quantity of a role.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BudgetLine {
    /// Role that bears the cost.
    pub role: Role,
    /// Quantity that is budgeted.
    pub quantity: String,
    /// Unit of the figures.
    pub unit: String,
    /// Mechanism that causes the cost.
    pub mechanism: String,
    /// Bound from the requirements, if any.
    pub bound: Option<f64>,
    /// Cost at the design size.
    pub at_design: f64,
    /// Cost at twice the design size.
    pub at_2x: f64,
    /// Cost at ten times the design size.
    pub at_10x: f64,
    /// Names of the slopes that the figures are derived from.
    pub slopes: Vec<String>,
    /// Ratio of the design size to the largest measured size, the maximum over all slopes.
    pub extrapolation: f64,
}

/// Budget lines of all roles.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Budget {
    /// Lines in a fixed order.
    pub lines: Vec<BudgetLine>,
}

/// The slopes of a run, looked up by name.
struct Slopes<'a>(&'a [Slope]);

/// Derivation of a budget line from sizes and slopes.
struct Rule {
    role: Role,
    quantity: &'static str,
    unit: &'static str,
    mechanism: &'static str,
    bound: fn(&DesignSize) -> Option<f64>,
    slopes: &'static [&'static str],
    /// Size that [`BudgetLine::extrapolation`] compares with the measured sizes of the slopes.
    size: fn(&DesignSize) -> f64,
    cost: fn(&Slopes<'_>, &DesignSize) -> f64,
}

impl Budget {
    /// Derives all lines from measured slopes. The result depends on the arguments only.
    #[must_use]
    pub fn derive(slopes: &[Slope], design: &DesignSize) -> Self {
        let slopes = Slopes(slopes);
        let lines = RULES
            .iter()
            .map(|rule| rule.line(&slopes, design))
            .collect();
        Self { lines }
    }

    /// Returns the lines whose figure at the design size exceeds their bound.
    pub fn exceeded(&self) -> impl Iterator<Item = &BudgetLine> {
        self.lines
            .iter()
            .filter(|line| line.bound.is_some_and(|bound| line.at_design > bound))
    }

    /// Returns the line with the highest utilisation, among those whose slopes were measured.
    #[must_use]
    pub fn most_utilised(&self) -> Option<&BudgetLine> {
        let bounded = self
            .lines
            .iter()
            .filter(|line| line.utilisation().is_finite());
        bounded.max_by(|a, b| a.utilisation().total_cmp(&b.utilisation()))
    }
}

impl BudgetLine {
    /// Returns the figure at the design size as a fraction of the bound, or 0 without a bound.
    #[must_use]
    pub fn utilisation(&self) -> f64 {
        self.bound.map_or(0.0, |bound| self.at_design / bound)
    }
}

impl Rule {
    fn line(&self, slopes: &Slopes<'_>, design: &DesignSize) -> BudgetLine {
        let extrapolation = self
            .slopes
            .iter()
            .map(|name| slopes.extrapolation(name, (self.size)(design)))
            .fold(0.0, f64::max);
        BudgetLine {
            role: self.role,
            quantity: self.quantity.into(),
            unit: self.unit.into(),
            mechanism: self.mechanism.into(),
            bound: (self.bound)(design),
            at_design: (self.cost)(slopes, design),
            at_2x: (self.cost)(slopes, &design.scaled(2.0)),
            at_10x: (self.cost)(slopes, &design.scaled(10.0)),
            slopes: self.slopes.iter().map(|name| (*name).into()).collect(),
            extrapolation,
        }
    }
}

impl Slopes<'_> {
    fn at(&self, name: &str, size: f64) -> f64 {
        self.find(name).map_or(f64::NAN, |slope| slope.at(size))
    }

    fn extrapolation(&self, name: &str, size: f64) -> f64 {
        self.find(name)
            .map_or(f64::NAN, |slope| slope.extrapolation(size))
    }

    fn find(&self, name: &str) -> Option<&Slope> {
        self.0.iter().find(|slope| slope.name == name)
    }
}

fn peers(size: &DesignSize) -> f64 {
    (size.targets_per_service() - 1.0).max(0.0)
}

/// Returns the traffic of digests and changes at a process, in bytes per second.
fn ticket_bytes_per_s(slopes: &Slopes<'_>, size: &DesignSize) -> f64 {
    slopes.at("ticket_traffic_steady_max", processes(size))
        + size.changes_per_s() * slopes.at("ticket_traffic_per_change_max", processes(size))
}

/// Returns the total rate of heartbeats that an agent sends to its peers, per second.
fn peer_heartbeats_per_s(size: &DesignSize) -> f64 {
    let count = peers(size);
    count * 1e3 / heartbeat_period_ms(count.ceil() as usize) as f64
}

fn observed_agents_per_entry(size: &DesignSize) -> f64 {
    size.targets * ENTRY_OBSERVERS_PER_AGENT / size.entries
}

fn processes(size: &DesignSize) -> f64 {
    size.entries + size.targets
}

fn core_percent(ns_per_s: f64) -> f64 {
    ns_per_s / 1e9 * 100.0
}

const fn memory_bound(size: &DesignSize) -> Option<f64> {
    Some(size.control_memory_bytes)
}

const fn traffic_bound(size: &DesignSize) -> Option<f64> {
    Some(size.control_bytes_per_s)
}

const fn processor_bound(size: &DesignSize) -> Option<f64> {
    Some(size.control_core_percent)
}

const RULES: &[Rule] = &[
    Rule {
        role: Role::Entry,
        quantity: "memory for routes and tickets",
        unit: "bytes",
        mechanism: "weighted Maglev table per service; whole tickets in memory",
        bound: memory_bound,
        slopes: &["route_table_memory", "ticket_store_memory"],
        size: |size| size.services,
        // Two route tables exist while a new one replaces the old one.
        cost: |slopes, size| {
            2.0 * slopes.at("route_table_memory", size.targets)
                + slopes.at("ticket_store_memory", size.services)
        },
    },
    Rule {
        role: Role::Entry,
        quantity: "control traffic, sent and received",
        unit: "bytes/s",
        mechanism: "heartbeats from the agents it watches; gossip of verdicts and tickets",
        bound: traffic_bound,
        slopes: &["membership_traffic_entry_max", "ticket_traffic_steady_max"],
        size: |size| size.targets,
        cost: |slopes, size| {
            slopes.at("membership_traffic_entry_max", size.targets)
                + ticket_bytes_per_s(slopes, size)
        },
    },
    Rule {
        role: Role::Entry,
        quantity: "processor time for control",
        unit: "% of a core",
        mechanism: "heartbeats, applying tickets, rebuilding the changed service's table",
        bound: processor_bound,
        slopes: &[
            "entry_heartbeat_time",
            "ticket_apply_one",
            "route_table_one_change",
        ],
        size: |size| size.services,
        cost: |slopes, size| {
            // The time of an entry heartbeat doesn't depend on a size.
            let heartbeats_ns_per_s = observed_agents_per_entry(size)
                * ENTRY_HEARTBEATS_PER_S
                * slopes.at("entry_heartbeat_time", 0.0);
            let change_us = slopes.at("ticket_apply_one", size.services)
                + slopes.at("route_table_one_change", size.targets);
            core_percent(heartbeats_ns_per_s + size.changes_per_s() * change_us * 1e3)
        },
    },
    Rule {
        role: Role::Entry,
        quantity: "routing decision, established flow",
        unit: "ns",
        mechanism: "one AES block, two table look-ups",
        bound: |size| Some(size.decision_ns),
        slopes: &["decision_established"],
        size: |size| size.targets,
        cost: |slopes, size| slopes.at("decision_established", size.targets),
    },
    Rule {
        role: Role::Entry,
        quantity: "routing decision, first packet",
        unit: "ns",
        mechanism: "one keyed hash, one Maglev look-up",
        bound: |size| Some(size.decision_ns),
        slopes: &["decision_first_packet"],
        size: |size| size.targets,
        cost: |slopes, size| slopes.at("decision_first_packet", size.targets),
    },
    Rule {
        role: Role::Entry,
        quantity: "pass-through decision, established flow",
        unit: "ns",
        mechanism: "two table look-ups",
        bound: |size| Some(size.decision_ns),
        slopes: &["pass_through_established"],
        size: |size| size.targets,
        cost: |slopes, size| slopes.at("pass_through_established", size.targets),
    },
    Rule {
        role: Role::Entry,
        quantity: "placement of a pass-through flow",
        unit: "ns",
        mechanism: "rendezvous order within the service; once a flow",
        bound: |_| None,
        slopes: &["pass_through_opening"],
        size: |size| size.targets,
        cost: |slopes, size| slopes.at("pass_through_opening", size.targets),
    },
    Rule {
        role: Role::Entry,
        quantity: "encapsulation of a 1,200-byte datagram",
        unit: "ns",
        mechanism: "keyed MAC over header and payload; counts as data, not control",
        bound: |_| None,
        slopes: &["encapsulation_encode"],
        size: |_| 1_200.0,
        cost: |slopes, _| slopes.at("encapsulation_encode", 1_200.0),
    },
    Rule {
        role: Role::Agent,
        quantity: "control traffic, sent and received",
        unit: "bytes/s",
        mechanism: "heartbeats among the agents of a service and to entries; gossip of tickets",
        bound: traffic_bound,
        slopes: &["membership_traffic_agent_max", "ticket_traffic_steady_max"],
        size: |size| size.targets,
        cost: |slopes, size| {
            slopes.at("membership_traffic_agent_max", size.targets)
                + ticket_bytes_per_s(slopes, size)
        },
    },
    Rule {
        role: Role::Agent,
        quantity: "processor time for control",
        unit: "% of a core",
        mechanism: "heartbeats among the agents of a service, to entries, one key per non-repeatable request",
        bound: processor_bound,
        slopes: &[
            "peer_heartbeat_time",
            "entry_heartbeat_time",
            "idempotency_time",
        ],
        size: peers,
        cost: |slopes, size| {
            let peer_ns_per_s = peer_heartbeats_per_s(size)
                * SENDER_AND_RECEIVER
                * slopes.at("peer_heartbeat_time", peers(size));
            let entry_ns_per_s = ENTRY_OBSERVERS_PER_AGENT
                * ENTRY_HEARTBEATS_PER_S
                * slopes.at("entry_heartbeat_time", 0.0);
            let key_count = KEYS_PER_TARGET_PER_S * KEY_VALIDITY_S;
            let per_key_ns = slopes.at("idempotency_time", key_count) / key_count * 1e3;
            core_percent(peer_ns_per_s + entry_ns_per_s + KEYS_PER_TARGET_PER_S * per_key_ns)
        },
    },
    Rule {
        role: Role::Agent,
        quantity: "memory for idempotency keys",
        unit: "bytes",
        mechanism: "one record per key until its prefix expires; low-water mark purges",
        bound: memory_bound,
        slopes: &["idempotency_memory"],
        size: |_| KEYS_PER_TARGET_PER_S * KEY_VALIDITY_S,
        cost: |slopes, _| slopes.at("idempotency_memory", KEYS_PER_TARGET_PER_S * KEY_VALIDITY_S),
    },
    Rule {
        role: Role::Agent,
        quantity: "memory for tickets and routes",
        unit: "bytes",
        mechanism: "whole tickets in memory, as at an entry",
        bound: memory_bound,
        slopes: &["ticket_store_memory", "route_table_memory"],
        size: |size| size.services,
        // Two route tables, as at an entry.
        cost: |slopes, size| {
            2.0 * slopes.at("route_table_memory", size.targets)
                + slopes.at("ticket_store_memory", size.services)
        },
    },
    Rule {
        role: Role::Fleet,
        quantity: "ticket in force everywhere",
        unit: "ms",
        mechanism: "readers watch the platform; push to 4 peers; digest with one peer per second",
        bound: |_| Some(7_000.0),
        slopes: &["ticket_in_force_everywhere"],
        size: processes,
        cost: |slopes, size| slopes.at("ticket_in_force_everywhere", processes(size)),
    },
    Rule {
        role: Role::Fleet,
        quantity: "platform reads, highest second",
        unit: "reads/s",
        mechanism: "3 readers per data centre, chosen by hash rank",
        bound: |_| Some(2_000.0),
        slopes: &["platform_reads_peak"],
        size: processes,
        cost: |slopes, size| slopes.at("platform_reads_peak", processes(size)),
    },
];
