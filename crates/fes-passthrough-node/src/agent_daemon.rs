//! Agent daemon: delivers packets to the target on its VM and sends the packets of the target to
//! clients.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use fes_adapter::READINESS_PATH;
use fes_adapter::packet;
use fes_membership::ClockEvent;
use fes_membership::ClockMonitor;
use fes_passthrough::AgentAction;
use fes_passthrough::AgentCore;
use fes_passthrough::AgentPlace;
use fes_passthrough::Message;
use fes_passthrough::Priority;
use fes_passthrough::decode_message;
use fes_passthrough::encode_message;
use fes_protocol::Error;
use fes_protocol::Lifecycle;
use fes_protocol::MonoTime;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use fes_telemetry::StatusServer;
use fes_telemetry::log_target;
use serde_json::Value;
use serde_json::json;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::contain;
use crate::node_context::NodeContext;
use crate::settings_watch::reload;
use crate::settings_watch::watch_settings;
use crate::signals::NodeSignals;
use crate::signals::SignalRequest;
use crate::target_probe::TargetProbe;
use crate::timing::clock_event_text;
use crate::timing::next_tick;
use crate::udp;

const TICK_MS: u64 = 25;
const TICKS_PER_SLOW_TICK: u32 = 40;
/// Interval at which a stopping agent looks for a moment at which nothing is in progress.
const STOP_CHECK_MS: u64 = 4;
/// Upper limit of the drain time if the target isn't draining. Requests that run longer are left to the next incarnation of the
/// agent, which learns their flows from the target.
const MAX_DRAIN_MS: u64 = 1_500;
/// Interval between two probes of a draining target while its agent stops. The target may end later
/// than the agent is told to stop.
const PROBE_PERIOD_MS: u64 = 100;
/// Part of the stop grace period that is reserved for the exit of the process.
const EXIT_MARGIN_MS: u64 = 700;

struct AgentNode {
    context: NodeContext,
    place: AgentPlace,
    core: RefCell<AgentCore>,
    target_probe: TargetProbe,
    /// Whether the target was draining or evacuated at the last tick.
    was_draining: Cell<bool>,
    target_socket: UdpSocket,
    node_socket: UdpSocket,
    buffer: RefCell<Vec<u8>>,
}

/// Runs an agent until a signal stops it.
///
/// # Errors
///
/// Returns an error if a signal handler can't be installed or an address can't be bound.
pub async fn run_agent(context: NodeContext, place: AgentPlace) -> Result<()> {
    let mut signals = NodeSignals::install()?;
    let settings = &context.settings;
    let target_socket = udp::bind(place.from_target_address).await?;
    let node_socket = udp::bind(settings.node_address).await?;
    let core = AgentCore::new(
        context.now(),
        context.incarnation,
        place.service,
        settings.is_first_start,
    );
    log::info!(
        target: log_target::FLOWS,
        "event=start role=agent vm={} data_centre={} incarnation={} first={}",
        settings.name,
        settings.data_centre,
        context.incarnation,
        settings.is_first_start
    );
    let node = Rc::new(AgentNode {
        place,
        core: RefCell::new(core),
        target_probe: TargetProbe::new(place.target_address),
        was_draining: Cell::new(false),
        target_socket,
        node_socket,
        buffer: RefCell::default(),
        context,
    });
    let _status = node.start_status().await?;
    node.context.health.set(Lifecycle::Serving, "started");
    node.spawn_tasks();
    while signals.next().await == SignalRequest::Reload {
        reload(&node.context, &node.context.settings);
    }
    node.drain().await;
    Ok(())
}

impl AgentNode {
    async fn start_status(self: &Rc<Self>) -> Result<StatusServer> {
        let node = Rc::clone(self);
        StatusServer::start_with_ready_path(
            SocketAddr::V4(self.context.settings.status_address),
            self.context.metrics.clone(),
            self.context.health.clone(),
            READINESS_PATH,
            move || {
                let core = node.core.borrow();
                let now = node.context.now();
                let (flows, streams, running) = core.load(now);
                let warm_up = core.warm_up_in_force(now);
                json!({
                    "flows": flows,
                    "streams": streams,
                    "running": running,
                    "waiting": core.queued_requests(),
                    "waiting_by_priority": waiting_by_priority(&core),
                    "longest_wait_ms": core.longest_wait_ms(now),
                    "entries": core.entry_count(),
                    "warm_up": warm_up.map(|limit| json!({
                        "remaining_ms": limit.remaining_ms,
                        "max_openings_per_s": limit.max_openings_per_s,
                    })),
                })
            },
        )
        .await
    }

    fn spawn_tasks(self: &Rc<Self>) {
        let node = Rc::clone(self);
        actix_rt::spawn(async move {
            let handle = |from: SocketAddrV4, datagram: &[u8]| node.on_message(from, datagram);
            udp::receive_all(&node.node_socket, handle, |_| {}).await;
        });
        let node = Rc::clone(self);
        actix_rt::spawn(async move {
            let handle = |_, datagram: &[u8]| node.on_target_packet(datagram);
            let on_error = |error: &std::io::Error| {
                log::debug!(target: log_target::FLOWS, "event=target_socket reason=\"{error}\"");
            };
            udp::receive_all(&node.target_socket, handle, on_error).await;
        });
        let node = Rc::clone(self);
        actix_rt::spawn(async move { node.tick().await });
        let node = Rc::clone(self);
        actix_rt::spawn(async move { watch_settings(&node.context, |_| {}).await });
    }

    fn on_message(&self, from: SocketAddrV4, datagram: &[u8]) {
        let now = self.context.now();
        self.context.metrics.datagrams_received.inc();
        let (message, packet) = match decode_message(datagram) {
            Ok(decoded) => decoded,
            Err(error) => return self.count_dropped(&error),
        };
        let segment = match packet.is_empty() {
            true => None,
            false => match packet::decode_from_client(packet) {
                Ok(segment) => Some(segment),
                Err(error) => return self.count_dropped(&error),
            },
        };
        let mut actions = Vec::new();
        let mut core = self.core.borrow_mut();
        let carried = segment.as_ref().map(|segment| (segment, packet));
        core.on_message(now, *from.ip(), &message, carried, &mut actions);
        drop(core);
        self.perform(actions, packet);
    }

    fn on_target_packet(&self, datagram: &[u8]) {
        let now = self.context.now();
        let segment = match packet::decode_from_target(datagram) {
            Ok(segment) => segment,
            Err(error) => return self.count_dropped(&error),
        };
        let mut actions = Vec::new();
        let mut core = self.core.borrow_mut();
        core.on_target_packet(now, &segment, &mut actions);
        drop(core);
        self.perform(actions, datagram);
    }

    async fn tick(self: &Rc<Self>) {
        let mut clock_monitor = ClockMonitor::new();
        let mut due_at = self.context.now();
        let mut count: u32 = 0;
        loop {
            due_at = next_tick(self.context.now(), due_at, TICK_MS);
            sleep(self.context.now().until(due_at)).await;
            let now = self.context.now();
            let clock_event = clock_monitor.observe(now, self.context.clock.wall(), Some(due_at));
            if let Some(event) = clock_event {
                self.on_clock_event(event);
            }
            count = count.wrapping_add(1);
            let is_slow_tick = count.is_multiple_of(TICKS_PER_SLOW_TICK);
            contain("tick", || self.on_tick(now, is_slow_tick));
            self.observe_drain();
        }
    }

    /// Probes the target once when it begins to drain or is evacuated.
    fn observe_drain(self: &Rc<Self>) {
        let is_draining = self.core.borrow().is_target_draining();
        let was_draining = self.was_draining.replace(is_draining);
        if is_draining && !was_draining {
            let node = Rc::clone(self);
            actix_rt::spawn(async move { node.target_probe.observe().await });
        }
    }

    fn on_tick(&self, now: MonoTime, is_slow_tick: bool) {
        let mut actions = Vec::new();
        let mut core = self.core.borrow_mut();
        core.on_tick(now, &mut actions);
        if is_slow_tick {
            core.on_slow_tick(now);
            self.update_gauges(&core);
        }
        drop(core);
        self.perform(actions, &[]);
    }

    fn on_clock_event(&self, event: ClockEvent) {
        self.context.metrics.clock_jumps.inc();
        self.core.borrow_mut().on_pause();
        log::warn!(
            target: log_target::FLOWS,
            "event=clock reason=\"{}\"",
            clock_event_text(event)
        );
    }

    fn update_gauges(&self, core: &AgentCore) {
        let (flows, _, running) = core.load(self.context.now());
        self.context.metrics.flows_open.set(i64::from(flows));
        self.context.metrics.slots_used.set(i64::from(running));
    }

    fn perform(&self, actions: Vec<AgentAction>, packet: &[u8]) {
        for action in actions {
            match action {
                AgentAction::Deliver => self.deliver(packet),
                AgentAction::DeliverStored { packet } => self.deliver(&packet),
                AgentAction::SendToClient => self.send_to_client(packet),
                AgentAction::Send {
                    to,
                    message,
                    with_packet,
                } => {
                    let packet = if with_packet { packet } else { &[] };
                    self.send(to, &message, packet);
                }
                AgentAction::SendStored {
                    to,
                    message,
                    packet,
                } => self.send(to, &message, &packet),
                AgentAction::Record(decision) => {
                    let now = self.context.now();
                    self.context.decisions.record(now, &decision, packet);
                }
                AgentAction::RecordStored {
                    decision,
                    priority,
                    packet,
                } => {
                    let now = self.context.now();
                    let decisions = &self.context.decisions;
                    decisions.record_queued(now, &decision, priority, &packet);
                }
            }
        }
    }

    fn deliver(&self, packet: &[u8]) {
        self.context.metrics.datagrams_forwarded.inc();
        let target = self.place.target_address;
        self.record_send_result(self.target_socket.try_send_to(packet, target.into()));
    }

    fn send_to_client(&self, packet: &[u8]) {
        let segment = match packet::decode_from_target(packet) {
            Ok(segment) => segment,
            Err(error) => return self.count_dropped(&error),
        };
        self.context.metrics.datagrams_returned.inc();
        let port = self.context.settings.client_address.port();
        let client = SocketAddrV4::new(*segment.flow.client.ip(), port);
        self.record_send_result(self.node_socket.try_send_to(packet, client.into()));
    }

    fn send(&self, to: Ipv4Addr, message: &Message, packet: &[u8]) {
        let mut buffer = self.buffer.borrow_mut();
        buffer.clear();
        if let Err(error) = encode_message(message, &mut buffer) {
            return self.count_dropped(&error);
        }
        self.context
            .metrics
            .control_bytes_sent
            .inc_by(buffer.len() as u64);
        buffer.extend_from_slice(packet);
        let port = self.context.settings.node_address.port();
        let address = SocketAddrV4::new(to, port);
        self.record_send_result(self.node_socket.try_send_to(&buffer, address.into()));
    }

    /// Counts a failed send as a dropped datagram. Sends never wait for room in the socket's
    /// buffer, and nothing is retried, because the endpoints retransmit.
    fn record_send_result(&self, sent: std::io::Result<usize>) {
        if let Err(source) = sent {
            self.count_dropped(&Error::io(
                ResultCode::DatagramNotSent,
                "cannot send a datagram",
                source,
            ));
        }
    }

    fn count_dropped(&self, error: &Error) {
        let label = error.code().into();
        let metrics = &self.context.metrics;
        metrics.datagrams_dropped.get_or_create(&label).inc();
        log::debug!(target: log_target::FLOWS, "event=datagram_dropped reason=\"{error}\"");
    }

    /// Refuses new flows and returns once the core allows the process to exit.
    async fn drain(&self) {
        let started_at = self.context.now();
        self.context
            .health
            .set(Lifecycle::Draining, "the process was told to stop");
        log::info!(target: log_target::FLOWS, "event=stop phase=drain");
        let end_by = started_at.plus_ms(self.drain_limit_ms());
        let mut actions = Vec::new();
        self.core
            .borrow_mut()
            .begin_stop(started_at, end_by, &mut actions);
        self.perform(actions, &[]);
        let mut next_probe_at = started_at;
        while !self.advance_stop() {
            if self.context.now() >= next_probe_at {
                self.probe_target().await;
                next_probe_at = self.context.now().plus_ms(PROBE_PERIOD_MS);
            }
            sleep(Duration::from_millis(STOP_CHECK_MS)).await;
        }
        let now = self.context.now();
        let (_, _, running) = self.core.borrow().load(now);
        self.log_end(now, started_at, running);
    }

    /// Returns the upper limit of the drain time. The agent of a draining target uses the whole grace
    /// period, to see the target end.
    fn drain_limit_ms(&self) -> u64 {
        let grace_ms = self.context.settings.stop_grace_ms;
        let usable_ms = grace_ms.saturating_sub(EXIT_MARGIN_MS);
        match self.core.borrow().is_target_draining() {
            true => usable_ms,
            false => usable_ms.min(MAX_DRAIN_MS),
        }
    }

    /// Finds out whether the target has ended.
    async fn probe_target(&self) {
        if self.target_probe.has_ended().await {
            self.core.borrow_mut().record_target_ended();
        }
    }

    /// Returns whether the process may exit.
    fn advance_stop(&self) -> bool {
        let mut actions = Vec::new();
        let now = self.context.now();
        let may_exit = self.core.borrow_mut().advance_stop(now, &mut actions);
        self.perform(actions, &[]);
        may_exit
    }

    fn log_end(&self, now: MonoTime, started_at: MonoTime, running: u32) {
        log::info!(
            target: log_target::FLOWS,
            "event=stop phase=end after_ms={} running={running}",
            now.ms_since(started_at)
        );
    }
}

/// Returns the numbers of queued requests by priority, as they appear in the status.
fn waiting_by_priority(core: &AgentCore) -> Value {
    let counts = core.queued_by_priority();
    let by_name = counts
        .iter()
        .map(|(Priority(priority), count)| (priority.to_string(), *count));
    by_name.collect()
}
