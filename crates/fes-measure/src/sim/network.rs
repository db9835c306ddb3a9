//! Network delay and loss between processes.

use fes_protocol::MonoTime;

use super::Variates;
use crate::Profile;

/// One-way delay inside a data centre, in microseconds.
const LOCAL_DELAY_US: f64 = 250.0;

/// Mean jitter as a fraction of the fixed delay.
const JITTER_RATIO: f64 = 0.1;

/// Probability that a transmission is lost.
const LOSS_RATE: f64 = 0.005;

/// Network model. Loss delays reliable messages and drops datagrams.
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

    /// Returns the arrival time of a message between a client and an agent.
    pub(crate) fn client_arrival(&mut self, now: MonoTime) -> MonoTime {
        let delay_us = self.reliable_delay_us(self.client_delay_us);
        now.plus_us(delay_us)
    }

    /// Returns the arrival time of a reliable message between two agents.
    pub(crate) fn reliable_arrival(&mut self, now: MonoTime, from: usize, to: usize) -> MonoTime {
        let delay_us = self.reliable_delay_us(self.delay_us(from, to));
        now.plus_us(delay_us)
    }

    /// Returns the arrival time of a datagram between two agents, or `None` if it is lost.
    pub(crate) fn datagram_arrival(
        &mut self,
        now: MonoTime,
        from: usize,
        to: usize,
    ) -> Option<MonoTime> {
        let delay_us = self.jittered_delay_us(self.delay_us(from, to));
        let lost = self.variates.uniform() < LOSS_RATE;
        (!lost).then(|| now.plus_us(delay_us as u64))
    }

    /// Returns the round-trip time between two agents without jitter, rounded up to milliseconds.
    pub(crate) fn round_trip_ms(&self, from: usize, to: usize) -> u32 {
        (2.0 * self.delay_us(from, to) / 1e3).ceil() as u32
    }

    /// Returns the time by which the response must leave the upstream of `agent` to reach the
    /// client, connected to `client_agent`, by `client_deadline`. Agents know the round-trip times
    /// from QUIC and from their peer links.
    pub(crate) fn deadline_at(
        &self,
        client_deadline: MonoTime,
        client_agent: usize,
        agent: usize,
    ) -> MonoTime {
        let mut return_us = self.client_delay_us;
        if client_agent != agent {
            return_us += self.delay_us(agent, client_agent);
        }
        // A margin of twice the mean jitter.
        let return_us = return_us * (1.0 + 2.0 * JITTER_RATIO);
        MonoTime::from_us(client_deadline.as_us().saturating_sub(return_us as u64))
    }

    fn delay_us(&self, from: usize, to: usize) -> f64 {
        if from % self.data_centre_count == to % self.data_centre_count {
            LOCAL_DELAY_US
        } else {
            self.remote_delay_us
        }
    }

    fn reliable_delay_us(&mut self, delay_us: f64) -> u64 {
        let mut total_us = self.jittered_delay_us(delay_us);
        while self.variates.uniform() < LOSS_RATE {
            // A probe timeout of about three one-way delays, then a retransmission.
            total_us += 3.0 * delay_us + self.jittered_delay_us(delay_us);
        }
        total_us as u64
    }

    fn jittered_delay_us(&mut self, delay_us: f64) -> f64 {
        delay_us + self.variates.exponential(delay_us * JITTER_RATIO)
    }
}
