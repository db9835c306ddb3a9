//! Settings of an entry.

use std::net::SocketAddr;
use std::path::Path;

use fes_protocol::EntryId;
use fes_protocol::ResultCode;
use fes_protocol::ServiceId;

use crate::Faults;
use crate::NodeSettings;
use crate::node::check_distinct_sockets;
use crate::node::ephemeral_loopback;
use crate::reader::SettingsFile;
use crate::reader::TableReader;
use crate::reader::read_file;

const MAX_ID: i64 = u32::MAX as i64;

/// A socket that receives the client datagrams of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenSettings {
    /// Service that the datagrams belong to.
    pub service: ServiceId,
    /// UDP address.
    pub address: SocketAddr,
}

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// ID of the entry.
    pub entry: EntryId,
    /// Settings shared with agents.
    pub node: NodeSettings,
    /// UDP address for control messages and datagrams that agents return to clients.
    pub control_address: SocketAddr,
    /// Sockets for client datagrams.
    pub listen: Vec<ListenSettings>,
}

impl EntrySettings {
    /// Creates settings without listen sockets. The control socket binds an ephemeral loopback
    /// port.
    #[must_use]
    pub fn new(entry: EntryId, node: NodeSettings) -> Self {
        Self {
            entry,
            node,
            control_address: ephemeral_loopback(),
            listen: Vec::new(),
        }
    }

    /// Loads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, Faults> {
        let text = read_file(path.as_ref())?;
        Self::parse(path, &text)
    }

    /// Parses and validates settings. `path` appears in faults, and relative paths within the
    /// settings are resolved against its directory.
    ///
    /// # Errors
    ///
    /// Returns all faults of the text.
    pub fn parse(path: impl AsRef<Path>, text: &str) -> Result<Self, Faults> {
        let file = SettingsFile::parse(path.as_ref(), text)?;
        let settings = Self::read(&file.root());
        file.into_result(settings)
    }

    fn read(root: &TableReader<'_>) -> Option<Self> {
        let entry = root.number("entry", 1..=MAX_ID, None);
        let node = NodeSettings::read(root);
        let control_address = root.address("control_address");
        let tables = root.tables("listen");
        if tables.is_empty() {
            root.record_missing("listen", "at least one [[listen]] table");
        }
        let listen: Vec<Option<ListenSettings>> = tables.iter().map(read_listen).collect();
        root.record_unknown_keys();
        check_distinct_sockets(root, &[("control_address", control_address)]);
        check_listen(&tables, control_address, &listen);
        Some(Self {
            entry: EntryId(u32::try_from(entry?).ok()?),
            node: node?,
            control_address: control_address?,
            listen: listen.into_iter().collect::<Option<_>>()?,
        })
    }
}

fn read_listen(table: &TableReader<'_>) -> Option<ListenSettings> {
    let service = table.number("service", 1..=MAX_ID, None);
    let address = table.address("address");
    table.record_unknown_keys();
    Some(ListenSettings {
        service: ServiceId(u32::try_from(service?).ok()?),
        address: address?,
    })
}

/// Records a fault for each listen socket whose address another socket of the entry uses already.
/// Port 0 never conflicts.
fn check_listen(
    tables: &[TableReader<'_>],
    control_address: Option<SocketAddr>,
    listen: &[Option<ListenSettings>],
) {
    let mut used: Vec<SocketAddr> = control_address.into_iter().collect();
    for (table, socket) in tables.iter().zip(listen) {
        let Some(socket) = socket.filter(|socket| socket.address.port() != 0) else {
            continue;
        };
        if used.contains(&socket.address) {
            table.record_fault(
                "address",
                ResultCode::SettingsDuplicate,
                socket.address.to_string(),
                "an address that no other socket of the entry uses",
            );
        }
        used.push(socket.address);
    }
}
