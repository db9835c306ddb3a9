//! Metrics and `/status` of an entry.

use fes_protocol::FastMap;
use fes_protocol::ResultCode;
use fes_telemetry::CodeLabel;
use fes_telemetry::PlatformReadReason;
use fes_telemetry::set_counter;
use serde_json::Value;
use serde_json::json;

use crate::EntryCounters;
use crate::context::EntryContext;

/// Counter values that the metrics already include.
#[derive(Debug, Default)]
pub(crate) struct ExportedCounters {
    counters: EntryCounters,
    drops: FastMap<ResultCode, u64>,
}

impl EntryContext {
    /// Returns the current counters.
    pub(crate) fn counters(&self) -> EntryCounters {
        let live = &self.plane.counters;
        EntryCounters {
            routed_by_id: live.routed_by_id.get(),
            placed: live.placed.get(),
            lost_target: live.lost_target.get(),
            returned: live.returned.get(),
            control_messages: live.control_messages.get(),
            drops: self.plane.drops.snapshot(),
        }
    }

    /// Updates the metrics from the counters.
    pub(crate) fn update_metrics(&self) {
        let now = self.counters();
        let mut exported = self.exported.borrow_mut();
        let before = std::mem::replace(&mut exported.counters, now.clone());
        let metrics = &self.metrics;
        let forwarded = |c: &EntryCounters| c.routed_by_id + c.placed + c.lost_target;
        let received = |c: &EntryCounters| {
            let dropped: u64 = c.drops.iter().map(|(_, count)| count).sum();
            forwarded(c) + c.returned + c.control_messages + dropped
        };
        metrics
            .datagrams_received
            .inc_by(received(&now) - received(&before));
        metrics
            .datagrams_forwarded
            .inc_by(forwarded(&now) - forwarded(&before));
        metrics
            .datagrams_returned
            .inc_by(now.returned - before.returned);
        for (code, count) in &now.drops {
            let before = exported.drops.insert(*code, *count).unwrap_or(0);
            let label = CodeLabel::from(*code);
            let counter = metrics.datagrams_dropped.get_or_create(&label);
            counter.inc_by(count - before);
        }
        let traffic = &self.plane.control_traffic;
        set_counter(&metrics.control_bytes_sent, traffic.sent_bytes());
        set_counter(&metrics.control_bytes_received, traffic.received_bytes());
        let distribution = self.tickets.distribution().borrow();
        let reads = distribution.read_counters();
        for (reason, total) in [
            (PlatformReadReason::Tickets, reads.full_reads),
            (PlatformReadReason::Watch, reads.watches),
        ] {
            set_counter(&metrics.platform_reads.get_or_create(&reason.into()), total);
        }
        let failures = |code: ResultCode| {
            metrics
                .platform_failures
                .get_or_create(&code.into())
                .clone()
        };
        set_counter(&failures(ResultCode::PlatformUnreachable), reads.failures);
        set_counter(&failures(ResultCode::PlatformStale), reads.stale_answers);
        let highest = distribution.snapshot().highest().0;
        metrics
            .ticket_highest
            .set(i64::try_from(highest).unwrap_or(i64::MAX));
        let age_ms = distribution.platform_age_ms(self.driver.now());
        metrics.platform_age_ms.set(i64::from(age_ms));
    }

    /// Returns the body of `/status`.
    pub(crate) fn status(&self) -> Value {
        let counters = self.counters();
        let distribution = self.tickets.distribution().borrow();
        let router = self.plane.router.borrow();
        json!({
            "node": format!("entry-{}", self.settings.entry),
            "incarnation": self.incarnation.0,
            "ticket_highest": distribution.snapshot().highest().0,
            "is_reader": distribution.is_reader(),
            "platform_age_ms": distribution.platform_age_ms(self.driver.now()),
            "targets": router.table().target_count(),
            "table_bytes": router.table().memory_bytes(),
            "routed_by_id": counters.routed_by_id,
            "placed": counters.placed,
            "lost_target": counters.lost_target,
            "returned": counters.returned,
        })
    }
}
