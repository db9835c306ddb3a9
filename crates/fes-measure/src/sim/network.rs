//! Delay and loss between processes.

use fes_protocol::MonoTime;

use super::Variates;
use crate::Profile;

/// One-way delay inside a data centre, in microseconds.
const LOCAL_DELAY_US: f64 = 250.0;

/// Mean of the random part of a delay, as a share of the delay.
const JITTER_SHARE: f64 = 0.1;

/// Share of datagrams lost between data centres.
const LOSS_SHARE: f64 = 0.005;

/// Delays and losses; reliable transfers are late instead of lost.
#[derive(Debug)]
pub(crate) struct Network {
    data_centre_count: usize,
    remote_delay_us: f64,
    client_delay_us: f64,
    variates: Variates,
}

impl Network {
    pub(crate) fn new(profile: &Profile, variates: Variates) -> Self {
        Self {
            data_centre_count: profile.data_centres,
            remote_delay_us: profile.remote_delay_ms as f64 * 1e3,
            client_delay_us: profile.client_delay_ms as f64 * 1e3,
            variates,
        }
    }

    /// Returns when a message between a client and an agent arrives.
    pub(crate) fn client(&mut self, now: MonoTime) -> MonoTime {
        let delay_us = self.reliable_us(self.client_delay_us);
        now.plus_us(delay_us)
    }

    /// Returns when a reliable message between two agents arrives.
    pub(crate) fn reliable(&mut self, now: MonoTime, from: usize, to: usize) -> MonoTime {
        let delay_us = self.reliable_us(self.delay_us(from, to));
        now.plus_us(delay_us)
    }

    /// Returns when a datagram between two agents arrives, if it does.
    pub(crate) fn datagram(&mut self, now: MonoTime, from: usize, to: usize) -> Option<MonoTime> {
        let delay_us = self.jittered_us(self.delay_us(from, to));
        let lost = self.variates.uniform() < LOSS_SHARE;
        (!lost).then(|| now.plus_us(delay_us as u64))
    }

    /// Returns the round trip between two agents without jitter, in whole milliseconds.
    pub(crate) fn round_trip_ms(&self, from: usize, to: usize) -> u32 {
        (2.0 * self.delay_us(from, to) / 1e3).ceil() as u32
    }

    /// Returns when the response must leave the upstream of `agent`, so that it reaches the client
    /// of `home` in time. Agents know round trips from QUIC and from their peer links.
    pub(crate) fn deadline_at(
        &self,
        client_deadline: MonoTime,
        home: usize,
        agent: usize,
    ) -> MonoTime {
        let mut back_us = self.client_delay_us;
        if home != agent {
            back_us += self.delay_us(agent, home);
        }
        let back_us = back_us * (1.0 + 2.0 * JITTER_SHARE);
        MonoTime::from_us(client_deadline.as_us().saturating_sub(back_us as u64))
    }

    fn delay_us(&self, from: usize, to: usize) -> f64 {
        if from % self.data_centre_count == to % self.data_centre_count {
            LOCAL_DELAY_US
        } else {
            self.remote_delay_us
        }
    }

    fn reliable_us(&mut self, delay_us: f64) -> u64 {
        let mut total_us = self.jittered_us(delay_us);
        while self.variates.uniform() < LOSS_SHARE {
            // A probe timeout of about three one-way delays, then the transfer again.
            total_us += 3.0 * delay_us + self.jittered_us(delay_us);
        }
        total_us as u64
    }

    fn jittered_us(&mut self, delay_us: f64) -> f64 {
        delay_us + self.variates.exponential(delay_us * JITTER_SHARE)
    }
}
