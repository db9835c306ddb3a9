//! Entry daemon: receives packets of clients and forwards them to agents.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use fes_adapter::READINESS_PATH;
use fes_adapter::packet;
use fes_membership::ClockMonitor;
use fes_passthrough::EntryAction;
use fes_passthrough::EntryCore;
use fes_passthrough::FleetView;
use fes_passthrough::Forward;
use fes_passthrough::Message;
use fes_passthrough::NodeSettings;
use fes_passthrough::decode_message;
use fes_passthrough::encode_message;
use fes_passthrough::era_of;
use fes_passthrough::number_of;
use fes_protocol::Error;
use fes_protocol::Lifecycle;
use fes_protocol::MonoTime;
use fes_protocol::Result;
use fes_telemetry::StatusServer;
use fes_telemetry::log_target;
use serde_json::json;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::contain;
use crate::list_watcher::ListUpdate;
use crate::list_watcher::WatchControl;
use crate::list_watcher::watch_list;
use crate::node_context::NodeContext;
use crate::settings_watch::reload;
use crate::settings_watch::watch_settings;
use crate::signals::NodeSignals;
use crate::signals::SignalRequest;
use crate::timing::age_for_metrics;
use crate::timing::clock_event_text;
use crate::timing::next_tick;
use crate::udp;

const TICK_MS: u64 = 20;
const TICKS_PER_SLOW_TICK: u32 = 50;
/// Time in which the routers of the platform stop sending packets to this entry: they check its
/// readiness twice a second and remove it after two failed checks.
const ROUTER_REMOVAL_MS: u64 = 1_200;
/// Time without a packet after which the routers are taken to have removed the entry.
const QUIET_PERIOD_MS: u64 = 400;
/// Part of the stop grace period that is reserved for the exit of the process.
const EXIT_MARGIN_MS: u64 = 700;

struct EntryNode {
    context: NodeContext,
    core: RefCell<EntryCore>,
    client_socket: UdpSocket,
    node_socket: UdpSocket,
    buffer: RefCell<Vec<u8>>,
    last_packet_at: Cell<MonoTime>,
    /// Revision of the view at the previous tick.
    last_revision: Cell<u64>,
}

/// Runs an entry until a signal stops it.
///
/// # Errors
///
/// Returns an error if a signal handler can't be installed or an address can't be bound.
pub async fn run_entry(context: NodeContext) -> Result<()> {
    let mut signals = NodeSignals::install()?;
    let settings = &context.settings;
    let client_socket = udp::bind(settings.client_address).await?;
    let node_socket = udp::bind(settings.node_address).await?;
    let mut core = EntryCore::new(
        context.incarnation,
        *settings.node_address.ip(),
        settings.data_centre.clone(),
        &settings.seed_entries,
    );
    core.set_warm_up_settings(settings.warm_up);
    log::info!(
        target: log_target::FLOWS,
        "event=start role=entry vm={} data_centre={} incarnation={} first={}",
        settings.name,
        settings.data_centre,
        context.incarnation,
        settings.is_first_start
    );
    let node = Rc::new(EntryNode {
        core: RefCell::new(core),
        client_socket,
        node_socket,
        buffer: RefCell::default(),
        last_packet_at: Cell::new(MonoTime::ZERO),
        last_revision: Cell::new(0),
        context,
    });
    let _status = node.start_status().await?;
    node.spawn_tasks();
    while signals.next().await == SignalRequest::Reload {
        if let Some(settings) = reload(&node.context, &node.context.settings) {
            node.apply_settings(&settings);
        }
    }
    node.drain().await;
    Ok(())
}

impl EntryNode {
    async fn start_status(self: &Rc<Self>) -> Result<StatusServer> {
        let node = Rc::clone(self);
        StatusServer::start_with_ready_path(
            SocketAddr::V4(self.context.settings.status_address),
            self.context.metrics.clone(),
            self.context.health.clone(),
            READINESS_PATH,
            move || {
                let status = node.core.borrow().status(node.context.now());
                serde_json::to_value(status).unwrap_or_else(|e| json!({ "error": e.to_string() }))
            },
        )
        .await
    }

    fn spawn_tasks(self: &Rc<Self>) {
        let node = Rc::clone(self);
        actix_rt::spawn(async move {
            let handle = |_, packet: &[u8]| node.on_client_packet(packet);
            udp::receive_all(&node.client_socket, handle, |_| {}).await;
        });
        let node = Rc::clone(self);
        actix_rt::spawn(async move {
            let handle = |from: SocketAddrV4, datagram: &[u8]| node.on_message(from, datagram);
            udp::receive_all(&node.node_socket, handle, |_| {}).await;
        });
        let node = Rc::clone(self);
        actix_rt::spawn(async move { node.tick().await });
        let node = Rc::clone(self);
        actix_rt::spawn(async move {
            let control = WatchControl {
                is_passive: &|| node.is_passive(),
                known_era: &|| node.core.borrow().view().era(),
                awaits_peer_view: &|| node.core.borrow().awaits_peer_view(node.context.now()),
                known_revision: &|| node.known_revision(),
                confirmed_at: &|| node.core.borrow().view().confirmed_at(),
                retry_delay_ms: &|| node.core.borrow().read_retry_delay_ms(),
                last_era: Cell::new(None),
            };
            watch_list(&node.context, &control, |update| {
                node.on_list_update(update)
            })
            .await;
        });
        let node = Rc::clone(self);
        actix_rt::spawn(async move {
            let apply = |settings: NodeSettings| node.apply_settings(&settings);
            watch_settings(&node.context, apply).await;
        });
    }

    fn apply_settings(&self, settings: &NodeSettings) {
        let mut core = self.core.borrow_mut();
        core.set_seeds(&settings.seed_entries);
        core.set_warm_up_settings(settings.warm_up);
    }

    /// Returns whether other entries read the platform and this one receives the list from them.
    fn is_passive(&self) -> bool {
        !self.core.borrow().is_reader(self.context.now())
    }

    /// Returns the latest revision that is completely known, if any.
    fn known_revision(&self) -> Option<u64> {
        let core = self.core.borrow();
        let view = core.view();
        (view.has_routes() && view.revision() > 0).then(|| view.revision())
    }

    fn on_client_packet(&self, datagram: &[u8]) {
        let now = self.context.now();
        self.last_packet_at.set(now);
        self.context.metrics.datagrams_received.inc();
        let segment = match packet::decode_from_client(datagram) {
            Ok(segment) => segment,
            Err(error) => return self.count_dropped(&error),
        };
        let mut actions = Vec::new();
        let mut core = self.core.borrow_mut();
        core.on_client_packet(now, &segment, datagram, &mut actions);
        drop(core);
        self.perform(actions, datagram);
    }

    fn on_message(&self, from: SocketAddrV4, datagram: &[u8]) {
        let now = self.context.now();
        self.context
            .metrics
            .control_bytes_received
            .inc_by(datagram.len() as u64);
        let (message, packet) = match decode_message(datagram) {
            Ok(decoded) => decoded,
            Err(error) => return self.count_dropped(&error),
        };
        let mut actions = Vec::new();
        let mut core = self.core.borrow_mut();
        core.on_message(now, *from.ip(), &message, packet, &mut actions);
        drop(core);
        self.perform(actions, packet);
        self.update_readiness();
    }

    fn on_list_update(&self, update: ListUpdate) {
        let now = self.context.now();
        let mut actions = Vec::new();
        let mut core = self.core.borrow_mut();
        match update {
            ListUpdate::Listing { changes, revision } => {
                core.on_listing(now, changes, revision, &mut actions);
                core.confirm_list(now, revision);
            }
            ListUpdate::Changes { changes, revision } => {
                for change in changes {
                    core.on_change(now, change, &mut actions);
                }
                core.confirm_list(now, revision);
            }
            ListUpdate::Outage => core.view_mut().record_outage(),
        }
        let version = core.view().routes().version;
        core.on_tick(now, &mut actions);
        drop(core);
        self.perform(actions, &[]);
        self.update_readiness();
        self.log_routes_version(version);
    }

    /// Updates the metric of the routes' version, which is named `ticket_highest`, and logs a
    /// change of the routes that are in force.
    fn log_routes_version(&self, version: u64) {
        let version = i64::try_from(version).unwrap_or(i64::MAX);
        if self.context.metrics.ticket_highest.set(version) != version {
            log::info!(target: log_target::FLOWS, "event=routes_in_force version={version}");
        }
    }

    async fn tick(&self) {
        let mut clock_monitor = ClockMonitor::new();
        let mut due_at = self.context.now();
        let mut count: u32 = 0;
        loop {
            due_at = next_tick(self.context.now(), due_at, TICK_MS);
            sleep(self.context.now().until(due_at)).await;
            let now = self.context.now();
            if let Some(event) = clock_monitor.observe(now, self.context.clock.wall(), Some(due_at))
            {
                self.context.metrics.clock_jumps.inc();
                log::warn!(
                    target: log_target::FLOWS,
                    "event=clock reason=\"{}\"",
                    clock_event_text(event)
                );
            }
            count = count.wrapping_add(1);
            let is_slow_tick = count.is_multiple_of(TICKS_PER_SLOW_TICK);
            contain("tick", || self.on_tick(now, is_slow_tick));
        }
    }

    fn on_tick(&self, now: MonoTime, is_slow_tick: bool) {
        let mut actions = Vec::new();
        let mut core = self.core.borrow_mut();
        core.on_tick(now, &mut actions);
        self.log_era(core.view());
        if is_slow_tick {
            core.on_slow_tick(now);
            self.update_gauges(&core, now);
        }
        drop(core);
        self.perform(actions, &[]);
    }

    /// Logs that the platform has come back from an older copy, once the view follows it.
    fn log_era(&self, view: &FleetView) {
        let after = view.revision();
        let before = self.last_revision.replace(after);
        if before == 0 || era_of(before) == era_of(after) {
            return;
        }
        log::warn!(
            target: log_target::PLATFORM,
            "event=era_began era={} former={} revision={} former_revision={} targets={} unlisted={}",
            era_of(after),
            era_of(before),
            number_of(after),
            number_of(before),
            view.targets().count(),
            view.unlisted_count()
        );
    }

    fn update_gauges(&self, core: &EntryCore, now: MonoTime) {
        let metrics = &self.context.metrics;
        let gauge = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        metrics.flows_open.set(gauge(core.flow_count()));
        metrics.peers_alive.set(gauge(core.agent_count()));
        let age_ms = age_for_metrics(core.view().age_ms(now));
        metrics.platform_age_ms.set(age_ms);
        let evacuations = core.view().evacuations().in_force().count();
        metrics.evacuations_in_force.set(gauge(evacuations));
        metrics.platform_era.set(i64::from(core.view().era()));
        let trips_us = core.trips().measured(now).map(|(_, lowest_us)| lowest_us);
        let longest_us = i64::try_from(trips_us.max().unwrap_or(0)).unwrap_or(i64::MAX);
        metrics.longest_trip_us.set(longest_us);
    }

    /// Reports the entry as ready once it knows the routes and has received a report from an agent.
    fn update_readiness(&self) {
        if self.context.health.lifecycle() != Lifecycle::Starting {
            return;
        }
        let core = self.core.borrow();
        if core.view().has_routes() && core.agent_count() > 0 {
            let reason = "routes and agents are known";
            self.context.health.set(Lifecycle::Serving, reason);
            log::info!(
                target: log_target::FLOWS,
                "event=ready after_ms={} version={}",
                self.context.now().as_ms(),
                core.view().routes().version
            );
        }
    }

    fn perform(&self, actions: Vec<EntryAction>, packet: &[u8]) {
        for action in actions {
            match action {
                EntryAction::Forward { vm, forward } => self.forward(vm, forward, packet),
                EntryAction::ForwardStored {
                    vm,
                    forward,
                    packet,
                } => self.forward(vm, forward, &packet),
                EntryAction::Send { vm, message } => self.send(vm, &message, &[]),
                EntryAction::SendStored {
                    vm,
                    message,
                    packet,
                } => self.send(vm, &message, &packet),
                EntryAction::ResetClient { flow, sequence } => {
                    let reset = packet::encode_reset(flow, sequence);
                    let port = self.context.settings.client_address.port();
                    let client = SocketAddrV4::new(*flow.client.ip(), port);
                    let sent = self.client_socket.try_send_to(&reset, client.into());
                    self.record_send_result(sent);
                }
                EntryAction::Record(decision) => {
                    let now = self.context.now();
                    self.context.decisions.record(now, &decision, packet);
                }
                EntryAction::RecordEvacuation(evacuation) => {
                    let now = self.context.now();
                    self.context.decisions.record_evacuation(now, &evacuation);
                }
            }
        }
    }

    fn forward(&self, vm: Ipv4Addr, forward: Forward, packet: &[u8]) {
        self.context.metrics.datagrams_forwarded.inc();
        let now = self.context.now();
        let message = self.core.borrow().forward_message(now, vm, forward);
        self.send(vm, &message, packet);
    }

    fn send(&self, vm: Ipv4Addr, message: &Message, packet: &[u8]) {
        let mut buffer = self.buffer.borrow_mut();
        buffer.clear();
        if let Err(error) = encode_message(message, &mut buffer) {
            return self.count_dropped(&error);
        }
        buffer.extend_from_slice(packet);
        let port = self.context.settings.node_address.port();
        let address = SocketAddrV4::new(vm, port);
        let sent = self.node_socket.try_send_to(&buffer, address.into());
        let control_bytes = buffer.len() - packet.len();
        self.context
            .metrics
            .control_bytes_sent
            .inc_by(control_bytes as u64);
        self.record_send_result(sent);
    }

    /// Counts a failed send as a dropped datagram. Sends never wait for room in the socket's
    /// buffer, and nothing is retried, because the endpoints retransmit.
    fn record_send_result(&self, sent: std::io::Result<usize>) {
        if let Err(source) = sent {
            let code = fes_protocol::ResultCode::DatagramNotSent;
            self.count_dropped(&Error::io(code, "cannot send a datagram", source));
        }
    }

    fn count_dropped(&self, error: &Error) {
        let label = error.code().into();
        let metrics = &self.context.metrics;
        metrics.datagrams_dropped.get_or_create(&label).inc();
        log::debug!(target: log_target::FLOWS, "event=datagram_dropped reason=\"{error}\"");
    }

    /// Reports the entry as draining and forwards packets until the routers have removed it.
    async fn drain(&self) {
        let started_at = self.context.now();
        self.context
            .health
            .set(Lifecycle::Draining, "the process was told to stop");
        log::info!(target: log_target::FLOWS, "event=stop phase=drain");
        let grace_ms = self.context.settings.stop_grace_ms;
        let end_at = started_at.plus_ms(grace_ms.saturating_sub(EXIT_MARGIN_MS));
        sleep(Duration::from_millis(ROUTER_REMOVAL_MS)).await;
        loop {
            let now = self.context.now();
            let is_quiet = now.ms_since(self.last_packet_at.get()) >= QUIET_PERIOD_MS;
            if is_quiet || now >= end_at {
                log::info!(
                    target: log_target::FLOWS,
                    "event=stop phase=end after_ms={} quiet={is_quiet}",
                    now.ms_since(started_at)
                );
                return;
            }
            sleep(Duration::from_millis(TICK_MS)).await;
        }
    }
}
