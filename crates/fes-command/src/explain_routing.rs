//! Where a datagram or an idempotency key goes, and by which rule.

use std::path::Path;
use std::sync::Arc;

use fes_idempotency::KeyClass;
use fes_idempotency::KeyOwner;
use fes_idempotency::PrefixCodec;
use fes_protocol::Error;
use fes_protocol::Incarnation;
use fes_protocol::KeyRing;
use fes_protocol::MonoTime;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use fes_protocol::Ticket;
use fes_routing::AllAlive;
use fes_routing::Decision;
use fes_routing::RouteTable;
use fes_routing::Router;
use fes_routing::RoutingRule;
use fes_settings::EntrySettings;
use fes_tickets::TicketStore;
use serde::Serialize;

/// What the tickets and keys say about a datagram or key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct Explanation {
    /// What happens, in one clause.
    pub(crate) outcome: String,
    /// Rule of the design page that decides.
    pub(crate) rule: &'static str,
    /// Target concerned.
    pub(crate) target: Option<u32>,
    /// Name of the upstream, if a ticket has it.
    pub(crate) upstream: Option<String>,
    /// Number of the ticket that the service's table is built from.
    pub(crate) ticket: Option<u64>,
    /// Result code, if the datagram is dropped or the key is answered at once.
    pub(crate) code: Option<String>,
}

/// Everything that an explanation rests on.
pub(crate) struct Context {
    keys: KeyRing,
    store: TicketStore,
    service: ServiceId,
}

impl Context {
    /// Takes the keys from an entry's settings and the state from tickets.
    pub(crate) fn new(
        settings: &Path,
        tickets: impl IntoIterator<Item = Arc<Ticket>>,
        service: ServiceId,
    ) -> Result<Self> {
        let settings = EntrySettings::load(settings).map_err(|faults| {
            Error::coded(
                ResultCode::UsageInvalid,
                faults.to_string().trim_end().to_owned(),
            )
        })?;
        let mut store = TicketStore::new();
        for ticket in tickets {
            store.apply(ticket);
        }
        Ok(Self {
            keys: settings.node.keys.initial_ring(),
            store,
            service,
        })
    }

    /// Explains what an entry does with a client's datagram, all targets taken as alive.
    pub(crate) fn datagram(&self, datagram: &[u8]) -> Explanation {
        let snapshot = self.store.snapshot();
        let objects = snapshot
            .services()
            .map(|held| (held.version.number, Arc::clone(&held.value)));
        let table = RouteTable::rebuild(&RouteTable::default(), MonoTime::ZERO, objects);
        let router = Router::new(Arc::new(table), &self.keys);
        match router.decide(self.service, datagram, &AllAlive) {
            Decision::Forward {
                target,
                agent_address,
                ticket,
                rule,
            } => Explanation {
                outcome: format!("goes to the agent at {agent_address}"),
                rule: rule_text(rule),
                ticket: Some(ticket.0),
                ..self.about(target)
            },
            Decision::Drop(code) => Explanation {
                outcome: "is dropped".to_owned(),
                rule: "no rule of routing applies",
                target: None,
                upstream: None,
                ticket: None,
                code: Some(code.to_string()),
            },
        }
    }

    /// Explains who may run a request with this idempotency key.
    pub(crate) fn key(&self, value: &str) -> Explanation {
        // No incarnation has the number 0, so that the owner is always found as another agent's.
        let nobody = KeyOwner {
            service: self.service,
            target: TargetId(0),
            incarnation: Incarnation(0),
        };
        let class = KeyClass::classify(
            value.as_bytes(),
            &PrefixCodec::new(self.keys.clone()),
            nobody,
        );
        let code = class.immediate_code().map(|code| code.to_string());
        let (KeyClass::Owned(key) | KeyClass::OtherIncarnation(key) | KeyClass::OtherTarget(key)) =
            class
        else {
            return Explanation {
                outcome: "is answered at once by any agent".to_owned(),
                rule: "the prefix names no owner that can be verified",
                target: None,
                upstream: None,
                ticket: None,
                code,
            };
        };
        let owner = key.prefix.owner;
        Explanation {
            outcome: format!(
                "runs at incarnation {} only; issued {} ms after that agent's start",
                owner.incarnation, key.prefix.issue_ms
            ),
            rule: "the prefix names the owner",
            ..self.about(owner.target)
        }
    }

    fn about(&self, target: TargetId) -> Explanation {
        let snapshot = self.store.snapshot();
        let held = snapshot.service(self.service);
        let upstream = held.and_then(|held| {
            let mut upstreams = held.value.upstreams.iter();
            upstreams.find(|upstream| upstream.target == target)
        });
        Explanation {
            outcome: String::new(),
            rule: "",
            target: Some(target.0),
            upstream: upstream.map(|upstream| upstream.name.to_string()),
            ticket: held.map(|held| held.version.number.0),
            code: None,
        }
    }
}

/// Parses hexadecimal digits; white space and colons are skipped.
pub(crate) fn parse_hex(text: &str) -> Result<Vec<u8>> {
    let digits: Vec<u8> = text
        .bytes()
        .filter(|byte| !byte.is_ascii_whitespace() && *byte != b':')
        .collect();
    let byte = |pair: &[u8]| {
        let text = std::str::from_utf8(pair).ok().filter(|_| pair.len() == 2)?;
        u8::from_str_radix(text, 16).ok()
    };
    digits
        .chunks(2)
        .map(byte)
        .collect::<Option<Vec<u8>>>()
        .ok_or_else(|| {
            let detail = "the datagram must be given as pairs of hexadecimal digits";
            Error::coded(ResultCode::UsageInvalid, detail)
        })
}

const fn rule_text(rule: RoutingRule) -> &'static str {
    match rule {
        RoutingRule::ConnectionId => "the connection ID names the target",
        RoutingRule::LostTarget => "the connection ID names a target that no ticket has",
        RoutingRule::Placement => "a first packet follows the placement table",
    }
}
