//! Round trips between an entry and the agents of each data centre, and the cost that placement
//! adds to a target in another data centre because of them.
//!
//! A round trip counts from sending an opening packet to the agent's answer that its target has
//! accepted the flow. It includes the time that the target takes to accept and any stall of the
//! agent or the entry, so that only the lowest of several is close to the time on the network.

use std::collections::VecDeque;

use fes_protocol::DataCentreName;
use fes_protocol::FastMap;
use fes_protocol::MonoTime;

use crate::FlowUse;
use crate::Mechanism;
use crate::placement::STREAM_CURRENT_LOAD_PERCENT;

/// Cost without measurements, in thousandths of the target's slots.
const UNMEASURED_COST_PER_MILLE: u64 = 120;
/// Lower limit of the cost. Equal targets stay in the entry's own data centre, since traffic between
/// data centres is more expensive.
const MIN_COST_PER_MILLE: u64 = UNMEASURED_COST_PER_MILLE;
/// Upper limit of the cost: one run time of a typical request. If the measurements are wrong, flows
/// still leave a data centre before a request waits there for much longer than another one runs.
const MAX_COST_PER_MILLE: u64 = 1_000;
/// Upper limit of the cost of a stream, for which the current load counts with less weight. With the
/// limit of single requests, too many streams stay in their data centre at the crest of a wave.
const MAX_STREAM_COST_PER_MILLE: u64 = MAX_COST_PER_MILLE * STREAM_CURRENT_LOAD_PERCENT / 100;
/// Number of intervals whose lowest round trip counts. With fewer openings than one in each
/// interval, the cost follows a link that has become slow after this number of openings.
const INTERVALS: usize = 8;
/// Number of intervals with a measurement from which the lowest round trip is used. The only opening
/// may have met a stalled agent.
const MIN_INTERVALS: usize = 3;
/// Length of an interval. Openings within it count as one: a stall of the entry delays all of them,
/// and 100 ms is the usual period of CPU quotas.
const INTERVAL_MS: u64 = 100;
/// Time after which a measurement no longer counts. Without flows to a data centre, its cost returns
/// to the constant, so that a wrong measurement doesn't last.
const EXPIRY_MS: u64 = 30_000;

/// Lowest round trip of an interval.
#[derive(Debug, Clone, Copy)]
struct IntervalTrip {
    lowest_us: u64,
    ends_at: MonoTime,
    expires_at: MonoTime,
}

/// Recent round trips to the agents of one data centre, the latest last.
#[derive(Debug, Default)]
struct RecentTrips {
    intervals: VecDeque<IntervalTrip>,
}

impl RecentTrips {
    fn record(&mut self, now: MonoTime, trip_us: u64) {
        let expires_at = now.plus_ms(EXPIRY_MS);
        if let Some(latest) = self.intervals.back_mut()
            && now < latest.ends_at
        {
            latest.lowest_us = latest.lowest_us.min(trip_us);
            latest.expires_at = expires_at;
            return;
        }
        if self.intervals.len() >= INTERVALS {
            self.intervals.pop_front();
        }
        self.intervals.push_back(IntervalTrip {
            lowest_us: trip_us,
            ends_at: now.plus_ms(INTERVAL_MS),
            expires_at,
        });
    }

    fn lowest_us(&self, now: MonoTime) -> Option<u64> {
        let expired = self.intervals.partition_point(|i| i.expires_at <= now);
        let current = self.intervals.range(expired..);
        let lowest_us = current.map(|interval| interval.lowest_us).min();
        lowest_us.filter(|_| self.intervals.len() - expired >= MIN_INTERVALS)
    }

    fn is_expired(&self, now: MonoTime) -> bool {
        self.intervals.back().is_none_or(|i| i.expires_at <= now)
    }
}

/// Round trips of an entry's recent openings by data centre. They are lost at a restart.
#[derive(Debug, Default)]
pub struct TripTimes {
    by_data_centre: FastMap<DataCentreName, RecentTrips>,
}

impl TripTimes {
    /// Records the round trip of an opening to an agent of a data centre.
    pub fn record(&mut self, now: MonoTime, data_centre: &DataCentreName, trip_us: u64) {
        if let Some(trips) = self.by_data_centre.get_mut(data_centre) {
            trips.record(now, trip_us);
            return;
        }
        let trips = self.by_data_centre.entry(data_centre.clone());
        trips.or_default().record(now, trip_us);
    }

    /// Returns the lowest recent round trip to agents of a data centre in microseconds, if there are
    /// enough measurements.
    #[must_use]
    pub fn lowest_us(&self, now: MonoTime, data_centre: &DataCentreName) -> Option<u64> {
        self.by_data_centre.get(data_centre)?.lowest_us(now)
    }

    /// Returns the data centres with enough measurements and their lowest recent round trips in
    /// microseconds.
    pub fn measured(&self, now: MonoTime) -> impl Iterator<Item = (&DataCentreName, u64)> {
        let trips = self.by_data_centre.iter();
        trips.filter_map(move |(name, trips)| Some((name, trips.lowest_us(now)?)))
    }

    /// Returns the additional cost of a target in the data centre `other` for an entry in `own`, in
    /// thousandths of the target's slots.
    ///
    /// `typical_us` is the run time of a typical target of the service. A load of 1,000 thousandths
    /// takes that long to run, and the first request of a flow in another data centre is answered
    /// later by two additional round trips: one of the handshake, and its own. The further requests
    /// of a stream take only their own.
    #[must_use]
    pub fn cost_per_mille(
        &self,
        now: MonoTime,
        own: &DataCentreName,
        other: &DataCentreName,
        flow_use: FlowUse,
        typical_us: Option<u64>,
    ) -> u64 {
        if !Mechanism::RemoteCost.is_enabled() || own == other {
            return 0;
        }
        let measured = || {
            let additional_us = self
                .lowest_us(now, other)?
                .saturating_sub(self.lowest_us(now, own)?);
            let (trips, max_cost) = match flow_use {
                FlowUse::Stream => (1, MAX_STREAM_COST_PER_MILLE),
                FlowUse::Repeatable | FlowUse::NonRepeatable => (2, MAX_COST_PER_MILLE),
            };
            let cost = additional_us.saturating_mul(trips * 1_000) / typical_us?.max(1);
            Some(cost.clamp(MIN_COST_PER_MILLE, max_cost))
        };
        let measured = Mechanism::TripCost.is_enabled().then(measured);
        measured.flatten().unwrap_or(UNMEASURED_COST_PER_MILLE)
    }

    /// Removes data centres without recent measurements.
    pub fn expire(&mut self, now: MonoTime) {
        self.by_data_centre
            .retain(|_, trips| !trips.is_expired(now));
    }

    /// Removes all measurements.
    pub fn clear(&mut self) {
        self.by_data_centre.clear();
    }
}
