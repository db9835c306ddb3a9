//! Run times that agents report, and the choice among targets by their relative run times.

mod support;

use std::net::Ipv4Addr;

use fes_passthrough::AgentTable;
use fes_passthrough::FleetView;
use fes_passthrough::FlowUse;
use fes_passthrough::ListChange;
use fes_passthrough::LoadReport;
use fes_passthrough::PlacementContext;
use fes_passthrough::RelativeRunTime;
use fes_passthrough::ReportedRunTime;
use fes_passthrough::TripTimes;
use fes_passthrough::WarmUpShares;
use fes_passthrough::preferred_targets;
use fes_passthrough::select_target;
use fes_passthrough::typical_run_time_us;
use fes_protocol::DataCentreName;
use fes_protocol::MonoTime;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

use support::fixtures::SERVICE;
use support::fixtures::flow;
use support::fixtures::idle_report;
use support::fixtures::once_address;
use support::fixtures::target;
use support::fixtures::vm;

const REPORT_PERIOD_MS: u64 = 100;
const TYPICAL_US: u32 = 30_000;
/// Slots of the targets of the fixtures.
const SLOTS: u64 = 2;

/// A service's targets, and the reports of their agents at time 0.
struct Fleet {
    view: FleetView,
    agents: AgentTable,
}

fn fleet(reports: &[LoadReport]) -> Fleet {
    let mut fleet = Fleet {
        view: FleetView::new(),
        agents: AgentTable::default(),
    };
    for (index, report) in reports.iter().enumerate() {
        let record = ListChange::Target(target(index, 1));
        fleet.view.apply(MonoTime::ZERO, record);
        let agents = &mut fleet.agents;
        agents.record_report(MonoTime::ZERO, vm(index), *report, REPORT_PERIOD_MS);
    }
    fleet
}

fn fleet_of(run_times_us: &[u32]) -> Fleet {
    let report = |run_time_us: &u32| LoadReport {
        run_time_us: *run_time_us,
        ..idle_report()
    };
    fleet(&run_times_us.iter().map(report).collect::<Vec<_>>())
}

impl Fleet {
    fn select(&self, now_ms: u64, port: u16, flow_use: FlowUse) -> Ipv4Addr {
        let context = PlacementContext {
            view: &self.view,
            agents: &self.agents,
            warm_up: &WarmUpShares::default(),
            trips: &TripTimes::default(),
            data_centre: &DataCentreName::from("a"),
        };
        let (now, flow) = (MonoTime::from_ms(now_ms), flow(port, once_address()));
        let rotation = usize::from(port);
        let selected = select_target(now, context, SERVICE, &flow, flow_use, &[], rotation);
        selected.expect("reachable targets").vm
    }

    /// Places flows and returns how many each of the targets got.
    fn place(&mut self, now_ms: u64, ports: std::ops::Range<u16>) -> Vec<usize> {
        let mut placed = vec![0; self.agents.len()];
        for port in ports {
            let selected = self.select(now_ms, port, FlowUse::Repeatable);
            let agents = &mut self.agents;
            agents.record_placed(MonoTime::from_ms(now_ms), selected, false);
            let index = (0..placed.len()).find(|index| vm(*index) == selected);
            placed[index.expect("a target of the fleet")] += 1;
        }
        placed
    }
}

fn mean_after(run_times_us: impl IntoIterator<Item = u64>) -> u32 {
    let mut reported = ReportedRunTime::default();
    for run_us in run_times_us {
        reported.record(MonoTime::ZERO, run_us);
    }
    reported.mean_us(MonoTime::ZERO)
}

/// Guards against entries that learn too late that a target has become slow or has recovered.
#[rstest]
#[case(30_000, 240_000)]
#[case(240_000, 30_000)]
fn the_reported_run_time_follows_a_change(#[case] before_us: u64, #[case] after_us: u64) {
    let changed = [before_us; 50].into_iter().chain([after_us; 3]);

    let mean_us = mean_after(changed);

    assert_eq!(u64::from(mean_us), after_us);
}

/// Guards against a target that looks slow because of a single long request, also its first one.
#[rstest]
#[case(50)]
#[case(0)]
fn a_long_request_does_not_make_a_target_look_slow(#[case] requests_before: usize) {
    let before = std::iter::repeat_n(30_000, requests_before);

    let mean_us = mean_after(before.chain([210_000]).chain([30_000; 5]));

    assert!((30_000..33_000).contains(&mean_us), "{mean_us}");
}

/// Guards against a target that gets no requests because of an old measurement.
#[test]
fn a_measurement_expires() {
    let mut reported = ReportedRunTime::default();
    reported.record(MonoTime::ZERO, 240_000);

    assert_eq!(reported.mean_us(MonoTime::from_ms(1_000)), 240_000);
    assert_eq!(reported.mean_us(MonoTime::from_ms(10_000)), 0);
}

/// Guards against an idle slow target that is preferred to an idle fast one.
#[rstest]
fn an_idle_fast_target_is_preferred(
    #[values(FlowUse::Stream, FlowUse::Repeatable, FlowUse::NonRepeatable)] flow_use: FlowUse,
    #[values(1, 2, 3)] port: u16,
) {
    let mut fleet = fleet_of(&[TYPICAL_US * 2, TYPICAL_US, TYPICAL_US * 2]);
    for index in 0..3 {
        fleet.agents.record_placed(MonoTime::ZERO, vm(index), false);
    }

    assert_eq!(fleet.select(50, port, flow_use), vm(1));
}

/// Guards against another choice than in earlier versions, by requests and streams per slot, for
/// targets of equal speed.
#[rstest]
fn equal_run_times_do_not_change_the_choice(
    #[values(0, 1, TYPICAL_US, u32::MAX)] run_time_us: u32,
    #[values(FlowUse::Stream, FlowUse::NonRepeatable)] flow_use: FlowUse,
) {
    let mut random = StdRng::seed_from_u64(1);
    for port in 1..500 {
        let reports = [(); 6].map(|()| LoadReport {
            running: random.random_range(0..5),
            waiting: random.random_range(0..3),
            streams: random.random_range(0..20),
            run_time_us,
            ..idle_report()
        });
        let fleet = fleet(&reports);
        let cost = |report: &LoadReport| {
            let load = u64::from(report.running + report.waiting) * 1_000 / SLOTS;
            match flow_use {
                FlowUse::Stream => u64::from(report.streams) * 30 / SLOTS + load * 30 / 100,
                _ => load,
            }
        };
        let flow = flow(port, once_address());
        let mut candidates = preferred_targets(fleet.view.targets_of(SERVICE), &flow, 0, 3);
        candidates.rotate_left(usize::from(port) % 3);
        let report_on = |at: Ipv4Addr| fleet.agents.get(at).expect("reported").report();
        let expected = candidates.iter().min_by_key(|c| cost(report_on(c.vm)));

        let selected = fleet.select(50, port, flow_use);

        assert_eq!(Some(selected), expected.map(|record| record.vm));
    }
}

/// Guards against many entries that all place their flows on the target that was the fastest by
/// reports of the same age. It has half of the four targets' capacity.
#[rstest]
#[case(50, 60)]
#[case(350, 40)]
fn entries_with_stale_reports_do_not_herd(#[case] age_ms: u64, #[case] most_percent: usize) {
    let run_times_us = [TYPICAL_US / 3, TYPICAL_US, TYPICAL_US, TYPICAL_US];
    let placed_on_fastest = (0..20).map(|entry| {
        let ports = entry * 100..entry * 100 + 10;
        fleet_of(&run_times_us).place(age_ms, ports)[0]
    });

    let percent = placed_on_fastest.sum::<usize>() * 100 / 200;

    println!("age {age_ms} ms: {percent} %");
    assert!(percent <= most_percent, "{percent} %");
}

/// Guards against a target that draws or repels all flows because of an absurd report.
#[rstest]
#[case(0, 250..400)]
#[case(1, 250..800)]
#[case(u32::MAX, 1..400)]
fn an_absurd_run_time_does_little_harm(
    #[case] run_time_us: u32,
    #[case] expected: std::ops::Range<usize>,
) {
    let mut fleet = fleet_of(&[run_time_us, TYPICAL_US, TYPICAL_US]);

    let placed = fleet.place(50, 0..1_000);

    println!("{run_time_us}: {placed:?}");
    assert!(expected.contains(&placed[0]), "{placed:?}");
    assert!(placed[1].abs_diff(placed[2]) <= 50, "{placed:?}");
}

/// Guards against an arithmetic overflow, and against costs that leave the order of targets to
/// absurd values.
#[rstest]
fn the_relative_run_time_is_limited(
    #[values(0, 1, TYPICAL_US, u32::MAX)] run_time_us: u32,
    #[values(None, Some(0), Some(1), Some(30_000), Some(u64::MAX))] typical_us: Option<u64>,
    #[values(0, 1_000, u64::MAX)] freshness: u64,
) {
    let relative = RelativeRunTime::new(run_time_us, typical_us, freshness);

    assert!((300..=8_000).contains(&relative.per_mille()));
    assert!(relative.request_cost(0).abs() <= 4_000);
    let is_costlier = relative.stream_cost(u64::MAX, u64::MAX) > 0;
    assert_eq!(is_costlier, relative.is_slow());
    assert_eq!(typical_run_time_us([0, 0].into_iter()), None);
}
