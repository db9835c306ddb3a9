//! Timeline of configuration changes and faults.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use fes_protocol::DataCentreName;
use fes_protocol::KeyEpoch;
use fes_protocol::KeyRing;
use fes_protocol::MonoTime;
use fes_protocol::SecretKey;
use fes_protocol::ServiceId;
use fes_protocol::ServiceName;
use fes_protocol::ServiceSpec;
use fes_protocol::ServiceState;
use fes_protocol::TargetId;
use fes_protocol::TicketNumber;
use fes_protocol::UpstreamName;
use fes_protocol::UpstreamSpec;
use fes_protocol::UpstreamState;
use fes_protocol::VmName;

use crate::Profile;

/// The service whose flows are counted.
pub(crate) const MAIN_SERVICE: ServiceId = ServiceId(1);

/// A second service behind the same entries.
pub(crate) const OTHER_SERVICE: ServiceId = ServiceId(2);

/// The target that one ticket drains and a later one removes.
pub(crate) const DRAINED_TARGET: TargetId = TargetId(1);

/// The live target that some processes suspect.
pub(crate) const FALSELY_SUSPECTED_TARGET: TargetId = TargetId(4);

/// The target that crashes.
pub(crate) const CRASHED_TARGET: TargetId = TargetId(3);

/// Start of the false suspicion.
pub(crate) const SUSPICION_START: MonoTime = MonoTime::from_ms(35_000);

/// End of the false suspicion, when the processes receive heartbeats again.
pub(crate) const SUSPICION_END: MonoTime = MonoTime::from_ms(39_000);

/// When an entry restarts. It then learns only the tickets in force, not earlier ones.
pub(crate) const ENTRY_RESTART_AT: MonoTime = MonoTime::from_ms(38_500);

/// When one or more entries crash.
pub(crate) const ENTRY_CRASH_AT: MonoTime = MonoTime::from_ms(42_000);

/// When [`CRASHED_TARGET`] crashes.
pub(crate) const TARGET_CRASH_AT: MonoTime = MonoTime::from_ms(52_000);

/// End of the run.
pub(crate) const END: MonoTime = MonoTime::from_ms(65_000);

/// A change of tickets or keys. Each process applies it at a different time.
#[derive(Debug, Clone)]
pub(crate) struct Change {
    pub(crate) published_at: MonoTime,
    pub(crate) ticket: TicketNumber,
    pub(crate) services: Vec<Arc<ServiceSpec>>,
    pub(crate) keys: KeyRing,
}

/// All changes in order of publication.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) changes: Vec<Change>,
}

impl Plan {
    /// Creates the plan: a drain with a replacement target, a weight change, a key rotation in two
    /// steps and the removal of the drained target.
    pub(crate) fn new(profile: &Profile) -> Self {
        let count = profile.targets as u32;
        let all: Vec<TargetId> = (1..=count).map(TargetId).collect();
        let replacement = TargetId(count + 1);
        let initial = upstreams(profile, &all);
        let mut draining = initial.clone();
        draining[0].state = UpstreamState::Leaving;
        draining.extend(upstreams(profile, &[replacement]));
        let mut resized = draining.clone();
        resized[1].slots *= 2;
        let removed = resized[1..].to_vec();
        let (old, new) = (key(0), key(1));
        let before = KeyRing::new(KeyEpoch(0), old.clone());
        let both = before.clone().with_adjacent_key(KeyEpoch(1), new.clone());
        let after = KeyRing::new(KeyEpoch(1), new).with_adjacent_key(KeyEpoch(0), old);
        let steps = [
            (0, initial, before.clone()),
            (5_000, draining, before),
            (13_000, resized.clone(), both.clone()),
            (21_000, resized, after.clone()),
            (29_000, removed, after),
        ];
        let changes = steps
            .into_iter()
            .zip(1..)
            .map(|((at_ms, main_upstreams, keys), n)| Change {
                published_at: MonoTime::from_ms(at_ms),
                ticket: TicketNumber(n),
                services: vec![main_service(main_upstreams), other_service(profile)],
                keys,
            });
        Self {
            changes: changes.collect(),
        }
    }

    /// Returns all targets of both services that appear in any change.
    pub(crate) fn targets(&self) -> Vec<(ServiceId, TargetId)> {
        let services = self.changes.iter().flat_map(|c| &c.services);
        let mut targets: Vec<(ServiceId, TargetId)> = services
            .flat_map(|s| s.upstreams.iter().map(|u| (s.id, u.target)))
            .collect();
        targets.sort();
        targets.dedup();
        targets
    }
}

fn key(epoch: u8) -> SecretKey {
    SecretKey::new([0x11 * (epoch + 1); 16])
}

fn main_service(upstreams: Vec<UpstreamSpec>) -> Arc<ServiceSpec> {
    service(MAIN_SERVICE, upstreams)
}

fn other_service(profile: &Profile) -> Arc<ServiceSpec> {
    let targets = [TargetId(101), TargetId(102), TargetId(103)];
    service(OTHER_SERVICE, upstreams(profile, &targets))
}

fn service(id: ServiceId, upstreams: Vec<UpstreamSpec>) -> Arc<ServiceSpec> {
    Arc::new(ServiceSpec {
        id,
        name: ServiceName::from(format!("service-{id}")),
        state: ServiceState::Active,
        addresses: vec![address(1_000 + id.0)],
        data_centres: vec![DataCentreName::from("a")],
        upstreams,
    })
}

fn upstreams(profile: &Profile, targets: &[TargetId]) -> Vec<UpstreamSpec> {
    let upstream = |target: &TargetId| UpstreamSpec {
        target: *target,
        name: UpstreamName::from(format!("upstream-{target}")),
        vm: VmName::from(format!("vm-{target}")),
        data_centre: DataCentreName::from("a"),
        agent_address: address(2_000 + target.0),
        link_address: address(3_000 + target.0),
        slots: profile.slots,
        state: UpstreamState::Active,
    };
    targets.iter().map(upstream).collect()
}

/// Returns a placeholder address. Addresses are only compared; nothing is sent to them.
pub(crate) fn address(port: u32) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port as u16))
}
