//! Start and stop of an entry.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use fes_kernel::ProcessClock;
use fes_link::DropCounters;
use fes_link::Tasks;
use fes_protocol::EncapsulationCodec;
use fes_protocol::Result;
use fes_protocol::ServiceId;
use fes_protocol::ServiceSpec;
use fes_protocol::TicketNumber;
use fes_routing::AllAlive;
use fes_routing::RouteTable;
use fes_routing::Router;
use fes_settings::EntrySettings;

use crate::EntryCounters;
use crate::data_plane::DataPlane;
use crate::data_plane::ServiceSocket;
use crate::data_plane::run_control;
use crate::data_plane::run_service;

/// The entry daemon.
#[derive(Debug)]
pub struct Entry;

/// A running entry. Dropping the handle stops it at once.
pub struct EntryHandle {
    plane: Rc<DataPlane<AllAlive>>,
    tasks: Tasks,
}

impl std::fmt::Debug for EntryHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EntryHandle")
            .field("entry", &self.plane.entry)
            .finish_non_exhaustive()
    }
}

impl Entry {
    /// Starts an entry on the current arbiter.
    ///
    /// # Errors
    ///
    /// Returns [`fes_protocol::ResultCode::BindFailed`] if a socket can't be bound.
    pub fn start(settings: &EntrySettings) -> Result<EntryHandle> {
        let keys = settings.node.keys.initial_ring();
        let services = settings
            .listen
            .iter()
            .map(|listen| ServiceSocket::bind(listen.service, listen.address))
            .collect::<Result<Vec<_>>>()?;
        let plane = Rc::new(DataPlane {
            entry: settings.entry,
            clock: ProcessClock::start(),
            control: fes_link::bind_udp(settings.control_address)?,
            services,
            router: RefCell::new(Router::new(Arc::default(), &keys)),
            codec: RefCell::new(EncapsulationCodec::new(keys)),
            liveness: AllAlive,
            counters: Default::default(),
            drops: DropCounters::default(),
        });
        let tasks = Tasks::default();
        for index in 0..plane.services.len() {
            tasks.spawn(run_service(Rc::clone(&plane), index));
        }
        tasks.spawn(run_control(Rc::clone(&plane), |_, _| {}));
        Ok(EntryHandle { plane, tasks })
    }
}

impl EntryHandle {
    /// Returns the address at which clients of `service` are heard, if the entry serves it.
    #[must_use]
    pub fn service_address(&self, service: ServiceId) -> Option<SocketAddr> {
        let socket = self.plane.services.iter().find(|s| s.service == service)?;
        socket.socket.local_addr().ok()
    }

    /// Returns the address of the control socket.
    #[must_use]
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.plane.control.local_addr().ok()
    }

    /// Puts services in force, as a ticket would.
    pub fn apply(&self, services: impl IntoIterator<Item = (TicketNumber, Arc<ServiceSpec>)>) {
        let mut router = self.plane.router.borrow_mut();
        let table = RouteTable::rebuild(router.table(), self.plane.clock.now(), services);
        router.set_table(Arc::new(table));
    }

    /// Returns the current counters.
    #[must_use]
    pub fn counters(&self) -> EntryCounters {
        let live = &self.plane.counters;
        EntryCounters {
            routed_by_id: live.routed_by_id.get(),
            placed: live.placed.get(),
            lost_target: live.lost_target.get(),
            returned: live.returned.get(),
            control: live.control.get(),
            drops: self.plane.drops.snapshot(),
        }
    }

    /// Stops at once, as a crash would.
    pub fn kill(self) {
        self.tasks.abort();
    }
}
