//! Metrics and `/status` of an agent.

use fes_protocol::FastMap;
use fes_protocol::ResultCode;
use fes_telemetry::CodeLabel;
use fes_telemetry::set_counter;
use serde_json::Value;
use serde_json::json;

use crate::AgentCounters;
use crate::context::AgentContext;
use crate::request::Exchange;

/// Counter values that the metrics already include.
#[derive(Debug, Default)]
pub(crate) struct ExportedCounters {
    counters: AgentCounters,
    answers: FastMap<ResultCode, u64>,
    drops: FastMap<ResultCode, u64>,
}

impl AgentContext {
    /// Counts a request that was sent to the upstream, and records its queueing time.
    pub(crate) fn count_started(&self, exchange: &Exchange) {
        self.counters.started.add(1);
        self.metrics
            .queue_wait
            .observe(self.seconds_since_arrival(exchange));
    }

    /// Counts a request whose complete response was sent, and records its duration.
    pub(crate) fn count_finished(&self, exchange: &Exchange) {
        self.counters.finished.add(1);
        self.observe_duration(exchange);
    }

    /// Records the time from the arrival of a request to the end of its response.
    pub(crate) fn observe_duration(&self, exchange: &Exchange) {
        self.metrics
            .request_duration
            .observe(self.seconds_since_arrival(exchange));
    }

    fn seconds_since_arrival(&self, exchange: &Exchange) -> f64 {
        self.now().us_since(exchange.arrived_at) as f64 / 1e6
    }

    /// Updates the metrics from the counters.
    pub(crate) fn update_metrics(&self) {
        // The peer table counts the heartbeats that it ignores as replays or as from another
        // incarnation. Raises the drop counter to that number.
        let replayed = self.peers.borrow().ignored_heartbeat_count();
        let counted = self.drops.get(ResultCode::DatagramReplayed);
        let code = ResultCode::DatagramReplayed;
        self.drops.add(code, replayed.saturating_sub(counted));
        let now = self.snapshot_counters();
        let mut exported = self.exported.borrow_mut();
        let before = std::mem::replace(&mut exported.counters, now.clone());
        let metrics = &self.metrics;
        let pairs = [
            (&metrics.flows_opened, now.flows_opened, before.flows_opened),
            (
                &metrics.flows_refused,
                now.flows_refused,
                before.flows_refused,
            ),
            (
                &metrics.first_packets_handed_off,
                now.first_packets_handed_off,
                before.first_packets_handed_off,
            ),
            (
                &metrics.requests_received,
                now.requests_received,
                before.requests_received,
            ),
            (
                &metrics.requests_started,
                now.requests_started,
                before.requests_started,
            ),
            (
                &metrics.requests_finished,
                now.requests_finished,
                before.requests_finished,
            ),
            (
                &metrics.requests_cancelled,
                now.requests_cancelled,
                before.requests_cancelled,
            ),
            (
                &metrics.requests_offloaded,
                now.requests_offloaded,
                before.requests_offloaded,
            ),
            (
                &metrics.requests_relayed,
                now.requests_relayed,
                before.requests_relayed,
            ),
            (
                &metrics.upstream_refusals,
                now.upstream_refusals,
                before.upstream_refusals,
            ),
        ];
        for (counter, now, before) in pairs {
            counter.inc_by(now - before);
        }
        for (code, count) in &now.answers {
            let before = exported.answers.insert(*code, *count).unwrap_or(0);
            let counter = metrics
                .requests_failed
                .get_or_create(&CodeLabel::from(*code));
            counter.inc_by(count - before);
        }
        for (code, count) in &now.drops {
            let before = exported.drops.insert(*code, *count).unwrap_or(0);
            let counter = metrics
                .datagrams_dropped
                .get_or_create(&CodeLabel::from(*code));
            counter.inc_by(count - before);
        }
        metrics.flows_open.set(to_gauge(now.flows_open));
        metrics.slots_used.set(to_gauge(now.slots_used));
        metrics
            .queue_requests
            .set(to_gauge(self.scheduler_status.borrow().queued as u64));
        metrics.idempotency_keys.set(to_gauge(
            self.coordinator.borrow().store().statistics().key_count as u64,
        ));
        let responses = self.matcher.borrow().counters();
        let discarded = responses.late_count
            + responses.duplicate_count
            + responses.unmatched_count
            + responses.other_incarnation_count;
        set_counter(&metrics.responses_discarded, discarded);
        let traffic = self.socket.control_traffic();
        set_counter(&metrics.control_bytes_sent, traffic.sent_bytes());
        set_counter(&metrics.control_bytes_received, traffic.received_bytes());
        let distribution = self.tickets.distribution().borrow();
        let highest = distribution.snapshot().highest();
        metrics.ticket_highest.set(to_gauge(highest.0));
        let age_ms = distribution.platform_age_ms(self.now());
        metrics.platform_age_ms.set(i64::from(age_ms));
        let peers = self.peers.borrow();
        let alive = peers.peers().filter(|(_, state, ..)| state.accepts_work());
        metrics.peers_alive.set(to_gauge(alive.count() as u64));
    }

    /// Returns the body of `/status`.
    pub(crate) fn status(&self) -> Value {
        let counters = self.snapshot_counters();
        let load = self.scheduler_status.borrow().load;
        let snapshot = self.tickets.distribution().borrow().snapshot();
        let peers: Vec<Value> = self
            .peers
            .borrow()
            .peers()
            .map(|(target, state, _, load)| {
                json!({
                    "target": target.0,
                    "state": format!("{state:?}"),
                    "capacity_milli": load.capacity_milli,
                    "demand_milli": load.demand_milli,
                })
            })
            .collect();
        json!({
            "node": format!("agent-{}", self.settings.target),
            "service": self.settings.service.0,
            "incarnation": self.incarnation.0,
            "ticket_highest": snapshot.highest().0,
            "flows_open": counters.flows_open,
            "requests_open": counters.requests_open,
            "slots_used": counters.slots_used,
            "slots": self.settings.slots,
            "capacity_milli": load.capacity_milli,
            "demand_milli": load.demand_milli,
            "queue_wait_ms": load.queue_wait_ms,
            "peers": peers,
        })
    }
}

fn to_gauge(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
